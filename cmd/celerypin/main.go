// Command celerypin steers callers to healthy upstreams. Documentation/cli
// describes its commands.
package main

import (
	"context"
	"os"

	"celerypin.example/celerypin/cmd/celerypin/cmds"
)

func main() { os.Exit(cmds.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
