package explain

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"celerypin.example/celerypin/internal/golden"
)

// TestRequestAndEvents checks which lines of a log are found for one request, and
// which are found to be about the state of the processes.
func TestRequestAndEvents(t *testing.T) {
	f, err := os.Open("testdata/host.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	found, err := Request(lines, "a-1")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Write(&out, found); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "explained.golden", out.Bytes())
	out.Reset()
	if err := Write(&out, Events(lines)); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "events.golden", out.Bytes())
	if _, err := Request(lines, "a-9"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want %v", err, ErrNotFound)
	}
}

// TestWindow checks which lines are found for a usage window that was left out: its own, those
// about the time, the duty and silent hosts around it, and none about other windows.
func TestWindow(t *testing.T) {
	f, err := os.Open("testdata/usage.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	found, err := Window(lines, 353445120)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Write(&out, found); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "window.golden", out.Bytes())
	if _, err := Window(lines, 1); !errors.Is(err, ErrNoWindow) {
		t.Errorf("got %v, want %v", err, ErrNoWindow)
	}
}
