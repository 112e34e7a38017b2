// Command standin plays the cases of the review: it starts the project's programs as separate
// processes, with small stand-ins for the platform, the servers, the consumers and the trainer around
// them, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// A verdict is the outcome of a case.
type verdict struct {
	broken bool
	reason string
}

// A scenario plays a case. With trouble false it leaves the disruption out.
type scenario func(ctx context.Context, w *world, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"attendant": playAttendant,
	"drain":     playDrain,
	"hot":       playHot,
	"retire":    playRetire,
	"settings":  playSettings,
}

// timeout bounds a whole case.
const timeout = 115 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitUnable
	}
	scene, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitUnable
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A script may have been started with SIGHUP ignored, as nohup does. Processes that the platform starts have it at its default, which
	// a signal that is caught here has in the programs started from here.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	re, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer re.close()
	w, err := newWorld(ctx, re)
	if err != nil {
		re.say("can't run: %v", err)
		return exitUnable
	}
	defer w.close()
	ve, err := scene(ctx, w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		re.say("can't run: %v", err)
		return exitUnable
	case ve.broken:
		re.say("rule BROKEN: %s", ve.reason)
		return exitBroken
	default:
		re.say("rule held: %s", ve.reason)
		return exitHeld
	}
}

// A record is the log of what was sent, answered and run.
type record struct {
	begun time.Time
	file  *os.File
	mu    sync.Mutex
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file}, nil
}

// say writes a line with the time since the start. Lines that end a case go to standard output too.
func (re *record) say(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(re.begun).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(re.file, line)
	fmt.Println(line)
}

// note writes a line to the record only.
func (re *record) note(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (re *record) close() { _ = re.file.Close() }
