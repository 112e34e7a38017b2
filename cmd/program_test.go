package cmd

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// program returns a command that runs the test binary as the program.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	path, err := os.Executable()
	assert.NilError(t, err)
	return &exec.Cmd{Path: path, Args: append([]string{programName}, args...)}
}

// startProcess starts the program with more variables than the test's, and kills it at the end of the test.
func startProcess(t *testing.T, name string, args []string, env ...string) *process {
	t.Helper()
	pr := &process{Cmd: program(t, args...), done: make(chan struct{})}
	log := &lockedBuffer{}
	pr.Env, pr.Stderr, pr.Stdout = append(os.Environ(), env...), log, log
	assert.NilError(t, pr.Start())
	go func() {
		pr.err = pr.Wait()
		close(pr.done)
	}()
	t.Cleanup(func() {
		_ = pr.end(syscall.SIGKILL)
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, log.tail())
		}
	})
	return pr
}
