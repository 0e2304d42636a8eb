package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/commander"
)

func run(args ...string) (commander.Exit, string, string) {
	var out, errs bytes.Buffer
	exit := commander.Main(args, commander.IO{Out: &out, Err: &errs, Now: time.Now})
	return exit, out.String(), errs.String()
}

func TestHelpAtEachLevel(t *testing.T) {
	for _, c := range []struct{ args, text string }{
		{"--help", "run an entry process"},
		{"move --help", "roll a move back"},
		{"answers --help", "name the mistakes"},
		{"serve --help", "GALENAHITCH_FAILURE_DOMAIN"},
		{"config wait --help", "--generation"},
	} {
		exit, out, _ := run(strings.Fields(c.args)...)
		require.Equal(t, commander.ExitOK, exit, c.args)
		require.Contains(t, out, c.text, c.args)
	}
}

func TestSettingsErrorsAreCompleteAndWithoutSecrets(t *testing.T) {
	exit, out, errs := run("serve", "--listen", "localhost:80", "--platform", "nowhere", "--seed", "x", "--operator", "ana:hunter2",
		"--peer-cert", "a", "--log-level", "loud", "--local-ip", "somewhere")
	require.Equal(t, commander.ExitUsage, exit)
	for _, flag := range []string{"--id", "--failure-domain", "--listen", "--platform", "--seed", "--operator", "--peer-cert", "--log-level", "--local-ip"} {
		require.Contains(t, errs, flag)
	}
	require.NotContains(t, out+errs, "hunter2")
}

func TestExitCodes(t *testing.T) {
	exit, _, _ := run("no-such-command")
	require.Equal(t, commander.ExitUsage, exit)
	exit, _, _ = run("status", "--admin", "http://127.0.0.1:1", "--token", "x")
	require.Equal(t, commander.ExitUnreachable, exit)
	broken := filepath.Join(t.TempDir(), "a.yaml")
	require.NoError(t, os.WriteFile(broken, []byte("firm: x\n"), 0o600))
	exit, out, _ := run("answers", "check", broken)
	require.Equal(t, commander.ExitProblems, exit)
	require.Contains(t, out, "remedy:")
	exit, _, _ = run("answers", "check", "no-such-file")
	require.Equal(t, commander.ExitUsage, exit)
}
