package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/state/config"
)

// TestFaultsAreReportedAtOnce decodes documents with many faults and compares all messages
// with the golden files.
func TestFaultsAreReportedAtOnce(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d documents, %v, want some", len(files), err)
	}
	for _, file := range files {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			faults := decodeFaults(name, data)
			var text strings.Builder
			for _, fault := range faults {
				if !errors.Is(fault, ErrInvalid) {
					t.Errorf("got %v, want it to match ErrInvalid", fault)
				}
				text.WriteString(fault.Error() + "\n")
			}
			golden.Check(t, strings.TrimSuffix(name, ".json")+".golden", []byte(text.String()))
		})
	}
}

// decodeFaults decodes a document as the type given by the prefix of its name, and returns
// the faults.
func decodeFaults(name string, data []byte) []error {
	var err error
	switch {
	case strings.HasPrefix(name, "config"):
		_, err = DecodeConfig(name, data)
	case strings.HasPrefix(name, "upstream"):
		_, err = Decode[StandinUpstream](name, data)
	default:
		_, err = Decode[Serve](name, data)
	}
	return Errors(err)
}

// TestExamplesAreValid decodes every file under examples/.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "*", "*.json"))
	if err != nil || len(files) < 30 {
		t.Fatalf("got %d examples, %v, want those of three deployments", len(files), err)
	}
	for _, file := range files {
		var err error
		switch filepath.Base(file) {
		case "config.json":
			var data []byte
			if data, err = os.ReadFile(file); err == nil {
				_, err = DecodeConfig(file, data)
			}
		case "platform.json":
			_, err = Read[StandinPlatform](file)
		case "upstreams.json":
			_, err = Read[StandinUpstream](file)
		default:
			_, err = Read[Serve](file)
		}
		if err != nil {
			t.Errorf("got %v, want %s to be valid", err, file)
		}
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := Read[Serve]("testdata/none"); !errors.Is(err, ErrInvalid) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want ErrInvalid and os.ErrNotExist", err)
	}
}

func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob(filepath.Join("testdata", "*.json"))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if cfg, err := DecodeConfig("fuzz", data); err == nil {
			compiled := config.Compile(cfg)
			compiled.Match("/")
		}
		_, _ = Decode[Serve]("fuzz", data)
		_, _ = Decode[StandinUpstream]("fuzz", data)
	})
}
