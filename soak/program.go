package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/platform"
)

// A program is one real process of the system, which is restarted whenever it
// exits.
type program struct {
	dir      string
	ip       string
	name     string
	role     string
	settings string
	store    *proxy // between it and the store

	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has exited
	mu      sync.Mutex
	resumed time.Time // last
	stopped bool      // permanently
}

// programName is the name under which the program is started.
const programName = "wisteriacroft"

// restartPause is how long the platform takes to restart a process.
const restartPause = 300 * time.Millisecond

// run starts the process and restarts it until stop.
func (pg *program) run(binary string) error {
	path := filepath.Join(pg.dir, pg.name+".toml")
	if err := os.WriteFile(path, []byte(pg.settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := pg.start(binary, path); err != nil {
		return err
	}
	go func() {
		for {
			pg.mu.Lock()
			ended, stopped := pg.ended, pg.stopped
			pg.mu.Unlock()
			<-ended
			if stopped {
				return
			}
			time.Sleep(restartPause)
			if pg.start(binary, path) != nil {
				return
			}
		}
	}()
	return nil
}

func (pg *program) start(binary, settings string) error {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	if pg.stopped {
		return errors.New("program is stopped")
	}
	log, err := os.OpenFile(filepath.Join(pg.dir, pg.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.CommandContext(context.Background(), binary, "platform", pg.role)
	cmd.Args[0] = programName // a test binary runs as the program under this name
	cmd.Env = []string{platform.SettingsVariable + "=" + settings, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	// The programs of a killed soak must end with it, or they serve the callers of the
	// next soak on the same addresses.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", pg.name)
	}
	ended := make(chan struct{})
	pg.cmd, pg.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // the log has its last messages
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, unless it has exited.
func (pg *program) signal(sig syscall.Signal) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	select {
	case <-pg.ended: // the id may belong to another process
	default:
		_ = pg.cmd.Process.Signal(sig)
	}
	if sig == syscall.SIGCONT {
		pg.resumed = time.Now()
	}
}

// resumeGrace is how long after a program was resumed its delayed actions may still have an
// effect.
const resumeGrace = 500 * time.Millisecond

func (pg *program) justResumed() bool {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	return time.Since(pg.resumed) < resumeGrace
}

// stop kills the process without a restart.
func (pg *program) stop() {
	pg.mu.Lock()
	pg.stopped = true
	pg.mu.Unlock()
	pg.signal(syscall.SIGCONT)
	pg.signal(syscall.SIGKILL)
	pg.mu.Lock()
	ended := pg.ended
	pg.mu.Unlock()
	<-ended
}
