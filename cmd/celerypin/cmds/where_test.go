package cmds

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/golden"
)

// TestWhereOutput compares the text and the JSON of an answer with golden files. The answer
// has fields that this build does not know, which must not keep it from being read.
func TestWhereOutput(t *testing.T) {
	answer, err := os.ReadFile("testdata/where_answer.json")
	if err != nil {
		t.Fatal(err)
	}
	asked := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	args := []string{"where", "--metrics", address, "--vhost", "a.example", "--path", "/split/1", "--account", "choir", "--object", "17", "--body-bytes", "20"}
	for name, extra := range map[string][]string{"where_text.golden": nil, "where_json.golden": {"--json"}} {
		status, out, errOut := run(append(args, extra...)...)
		if status != ExitOK {
			t.Fatalf("got status %d, %s, want success", status, errOut)
		}
		golden.Check(t, name, []byte(out))
	}
	if want := "/where?account=choir&body_bytes=20&object=17&path=%2Fsplit%2F1&vhost=a.example"; asked != want {
		t.Errorf("got inquiry %s, want %s", asked, want)
	}
}

// TestWhereTakesNoKey guards against a client's key on a command line.
func TestWhereTakesNoKey(t *testing.T) {
	status, _, errOut := run("where", "--metrics", "127.0.0.1:1", "--vhost", "a", "--path", "/", "--key", "secret")
	if status != ExitUsage || strings.Contains(errOut, "secret") {
		t.Errorf("got status %d, %q, want a usage error without the key", status, errOut)
	}
}
