package cmd

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/settings"
)

// TestMain lets the test binary run as the program, for scripts and tests that start
// processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		programName: func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts of testdata/script that need no key-value service.
// TestProfileScripts runs all, with a key-value service for each.
func TestScripts(t *testing.T) {
	files := slices.DeleteFunc(glob(t, filepath.Join("testdata", "script"), "*.txtar"), func(path string) bool {
		return strings.HasPrefix(filepath.Base(path), "profile-")
	})
	testscript.Run(t, testscript.Params{Files: files})
}

// TestSignal checks that a signal shuts a process down gracefully, with exit code 0.
func TestSignal(t *testing.T) {
	for _, si := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(si.String(), func(t *testing.T) { testSignal(t, si) })
	}
}

func testSignal(t *testing.T, si syscall.Signal) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(path, golden.Get(t, "entry.toml"), 0o600))
	program, err := os.Executable()
	assert.NilError(t, err)
	process := exec.Cmd{Path: program, Args: []string{programName, "entry", "--settings", path}}
	stderr, err := process.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())

	lines := bufio.NewScanner(stderr)
	started := ""
	for !strings.Contains(started, "admin-address=") {
		assert.Assert(t, lines.Scan(), "the entry did not log its start")
		started = lines.Text() // warnings about the missing platform may precede it
	}
	admin := strings.Fields(started[strings.Index(started, "admin-address=")+len("admin-address="):])[0]
	session := "GET /healthz: " + get(t, "http://"+strings.Trim(admin, `"`)+"/healthz") +
		"GET /readyz: " + get(t, "http://"+strings.Trim(admin, `"`)+"/readyz") +
		withoutTime(strings.ReplaceAll(started, admin, "ADDRESS"))
	assert.NilError(t, process.Process.Signal(si))
	for lines.Scan() {
		// The number of warnings about the missing platform varies.
		if !strings.Contains(lines.Text(), "level=warning") {
			session += withoutTime(lines.Text())
		}
	}
	err = process.Wait()
	session += fmt.Sprintf("exit code %d, error %v\n", process.ProcessState.ExitCode(), err)
	golden.Assert(t, session, "signal.golden")
}

// withoutTime returns a log line without its time field.
func withoutTime(line string) string {
	first, rest, _ := strings.Cut(line, " ")
	if strings.HasPrefix(first, "time=") {
		line = rest
	}
	return line + "\n"
}

// get returns the status and body of a page.
func get(t *testing.T, url string) string {
	answer, err := http.Get(url)
	assert.NilError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return fmt.Sprintf("%d %s", answer.StatusCode, body)
}

// TestReference compares the reference for operators with the commands.
func TestReference(t *testing.T) {
	page, err := Reference()
	assert.NilError(t, err)
	golden.Assert(t, page, "../../docs/reference/commands.md")
}

// TestExitCodes checks the exit codes of commands that end at once.
func TestExitCodes(t *testing.T) {
	t.Setenv("WISTERIACROFT_PLATFORM", "")
	entry := filepath.Join("testdata", "entry.toml")
	for _, tc := range []struct {
		name string
		args string
		want ExitCode
	}{
		{"help", "--help", ExitOK},
		{"help of a command", "profile apply --help", ExitOK},
		{"version", "version", ExitOK},
		{"settings without findings", "entry --check --settings " + entry, ExitOK},
		{"settings with findings", "attendant --check --settings " + entry, ExitBadInput},
		{"settings that do not exist", "entry --settings nowhere.toml", ExitBadInput},
		{"no command", "", ExitBadInput},
		{"unknown command", "keep", ExitBadInput},
		{"unknown flag", "status --addr 127.0.0.1:1", ExitBadInput},
		{"status without an address", "status", ExitBadInput},
		{"status of an unreachable process", "status --address 127.0.0.1:1", ExitFailure},
		{"status without the instance list", "status --platform http://127.0.0.1:1", ExitUnavailable},
		{"profile without the key-value service", "profile show --platform http://127.0.0.1:1", ExitUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out := Output{Stderr: io.Discard, Stdout: io.Discard}
			assert.Equal(t, run(t.Context(), nil, strings.Fields(tc.args), out), tc.want)
		})
	}
}

// TestExamples checks the settings of both example deployments: all referenced entries
// exist, and no address or endpoint is used twice.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"hathercote", "baitursynov"} {
		t.Run(deployment, func(t *testing.T) {
			dir := filepath.Join("..", "examples", deployment)
			listeners := map[netip.AddrPort]string{}
			claim := func(path string, addresses ...netip.AddrPort) {
				for _, address := range addresses {
					assert.Equal(t, listeners[address], "", "%s of %s is taken", address, path)
					listeners[address] = path
				}
			}
			var named []netip.AddrPort
			for _, path := range glob(t, dir, "entry-*.toml") {
				se, err := readSettings(path, settings.ReadEntry)
				assert.NilError(t, err)
				claim(path, se.Listen(), se.AdminListen())
				named = append(named, se.Peers()...)
			}
			endpoints := map[string]string{}
			for _, path := range glob(t, dir, "attendant-*.toml") {
				se, err := readSettings(path, settings.ReadAttendant)
				assert.NilError(t, err)
				claim(path, se.Listen(), se.AdminListen())
				named = append(named, se.Entries()...)
				for _, en := range se.Endpoints() {
					assert.Equal(t, endpoints[en.Name()], "", "%s of %s is taken", en.Name(), path)
					endpoints[en.Name()] = path
				}
			}
			for _, address := range named {
				assert.Assert(t, strings.Contains(listeners[address], "entry-"), "no entry at %s", address)
			}
		})
	}
}

// glob returns the matching files of a folder, at least one.
func glob(t *testing.T, dir, pattern string) []string {
	paths, err := filepath.Glob(filepath.Join(dir, pattern))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	return paths
}
