package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// A process is one of the project's programs on a machine of its own. It is started again when it ends.
type process struct {
	class string
	ended chan struct{} // closed when it is not started again
	ip    string
	name  string
	role  string
	w     *world

	mu      sync.Mutex
	removed bool // the machine is gone for good
	command *exec.Cmd
	down    chan struct{} // closed when the current run has ended
}

// launch starts a role on a machine.
func (w *world) launch(role, class, name, ip string) (*process, error) {
	pr := &process{class: class, ended: make(chan struct{}), ip: ip, name: name, role: role, w: w}
	if err := os.WriteFile(pr.path(".toml"), []byte(w.settings(name, class, ip)), 0o600); err != nil {
		return nil, err
	}
	if err := pr.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, pr)
	return pr, nil
}

func (pr *process) path(suffix string) string { return filepath.Join(pr.w.dir, pr.name+suffix) }

func (pr *process) start() error {
	log, err := os.OpenFile(pr.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cm := exec.CommandContext(context.WithoutCancel(pr.w.ctx), filepath.Join(pr.w.root, "target", "wisteriacroft"), "platform", pr.role)
	cm.Dir, cm.Stdout, cm.Stderr = pr.w.root, log, log
	cm.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + pr.w.dir, "WISTERIACROFT_NODE_FILE=" + pr.path(".toml")}
	if err := cm.Start(); err != nil {
		_ = log.Close()
		return err
	}
	pr.w.rec.note("platform: starts %s", pr.name)
	down := make(chan struct{})
	pr.mu.Lock()
	pr.command, pr.down = cm, down
	pr.mu.Unlock()
	go pr.wait(cm, log, down)
	return nil
}

// wait waits for the end of a run and starts the next one.
func (pr *process) wait(cm *exec.Cmd, log *os.File, down chan struct{}) {
	err := cm.Wait()
	_ = log.Close()
	close(down)
	pr.w.rec.note("platform: %s has ended: %v", pr.name, err)
	time.Sleep(restartDelay)
	pr.w.mu.Lock()
	closing := pr.w.closing
	pr.w.mu.Unlock()
	pr.mu.Lock()
	closing = closing || pr.removed
	pr.mu.Unlock()
	if closing || pr.w.ctx.Err() != nil || pr.start() != nil {
		close(pr.ended)
	}
}

// send sends a signal to the process.
func (pr *process) send(si syscall.Signal, why string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.w.rec.note("platform: %v to %s: %s", si, pr.name, why)
	_ = pr.command.Process.Signal(si) // it may have ended
}

func (pr *process) kill(why string) { pr.send(syscall.SIGKILL, why) }

// remove takes the machine away.
func (pr *process) remove() {
	pr.mu.Lock()
	pr.removed = true
	pr.mu.Unlock()
	pr.kill("the machine is removed")
}
