package command

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rhubarbstall": func() { exit(Main()) }})
}

// Guards against commands that print the wrong thing, send a call twice, or end
// with an exit code that hides what happened.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f, server := startFakeServer()
			other, second := startFakeServer()
			env.Defer(server.Close)
			env.Defer(second.Close)
			env.Setenv(envServer, server.URL)
			env.Setenv(envUser, "pat")
			env.Setenv("FIRST", server.URL)
			env.Setenv("SECOND", second.URL)
			// Port 1 refuses connections; a port that was just closed may be given to
			// another server of the test.
			env.Setenv("CLOSED", "http://127.0.0.1:1")
			// A process under the race detector sleeps for 1 s at its end by default.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/html")
				w.WriteHeader(http.StatusBadGateway)
			}))
			env.Defer(balancer.Close)
			env.Setenv("BALANCER", balancer.URL)
			env.Values["servers"] = []*fakeServer{f, other}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exitcode": checkExitCode,
			"requests": checkRequests,
		},
	})
}

// checkExitCode runs the client: exitcode N ARGS...
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("rhubarbstall", args[1:]...)
	got := "0"
	if err != nil {
		got = fmt.Sprint(exitStatus(err))
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s (%v)", got, args[0], err)
	}
}

// checkRequests compares the requests that the servers got: requests FIRST SECOND
func checkRequests(ts *testscript.TestScript, _ bool, args []string) {
	for i, f := range ts.Value("servers").([]*fakeServer) {
		f.mu.Lock()
		got := fmt.Sprint(f.requests)
		f.mu.Unlock()
		if got != args[i] {
			ts.Fatalf("server %d got %s requests, want %s", i+1, got, args[i])
		}
	}
}

func exit(code int) { os.Exit(code) }

// exitStatus returns the exit code of a process that has ended, or -1.
func exitStatus(err error) int {
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		return ended.ExitCode()
	}
	return -1
}
