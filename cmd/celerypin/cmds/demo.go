package cmds

import (
	"github.com/urfave/cli/v3"
)

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "run the main job on loopback"}
}
