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

// A program is one real process of the system, which is started again whenever
// it ends.
type program struct {
	dir      string
	ip       string
	name     string
	role     string
	settings string
	store    *proxy // its path to the store

	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	mu      sync.Mutex
	resumed time.Time // last
	stopped bool      // for good
}

// programName is the name under which the program is started.
const programName = "wisteriacroft"

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// run keeps a process running until stop.
func (pg *program) run(binary string) error {
	path := filepath.Join(pg.dir, pg.name+".toml")
	if err := os.WriteFile(path, []byte(pg.settings), 0o600); err != nil {
		return errors.Wrap(err, "settings")
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
		return errors.New("stopped")
	}
	log, err := os.OpenFile(filepath.Join(pg.dir, pg.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	cmd := exec.CommandContext(context.Background(), binary, "platform", pg.role)
	cmd.Args[0] = programName // a test's binary stands for the program under its name
	cmd.Env = []string{platform.SettingsVariable + "=" + settings, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	// A soak that is killed would leave its programs behind, which answer the callers
	// of the next one on the same addresses: all calls served, no step ever whole.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", pg.name)
	}
	ended := make(chan struct{})
	pg.cmd, pg.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // how it ended stands in its log
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, by its own id.
func (pg *program) signal(sig syscall.Signal) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	select {
	case <-pg.ended: // the id may be another's by now
	default:
		_ = pg.cmd.Process.Signal(sig)
	}
	if sig == syscall.SIGCONT {
		pg.resumed = time.Now()
	}
}

// thawTime is for how long after a program was resumed what it had been about to do may
// still show.
const thawTime = 500 * time.Millisecond

func (pg *program) justResumed() bool {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	return time.Since(pg.resumed) < thawTime
}

// stop ends the process for good.
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
