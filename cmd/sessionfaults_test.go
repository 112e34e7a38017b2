package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/message"
	"wisteriacroft/standin"
)

// ranStep reports whether the engines have started a prompt with a prefix.
func (de *deployment) ranStep(prefix string) bool {
	for prompt := range de.counts().Prompts {
		if strings.HasPrefix(prompt, prefix) {
			return true
		}
	}
	return false
}

// runTrainer runs a trainer, injects a fault during its second step, and checks that each
// sample was delivered exactly once.
func (de *deployment) runTrainer(injectFault func()) {
	var out, errs bytes.Buffer
	trainer := program(de.T, "stand-in", "trainer", "--settings", de.write("trainer.toml", map[string]string{"steps": "3"}))
	trainer.Stdout, trainer.Stderr = &out, &errs
	assert.NilError(de, trainer.Start())
	de.Cleanup(func() { _ = trainer.Process.Kill() })
	de.waitFor("a step to start", func() bool { return de.ranStep("drafting-trainer-1: step 1") })
	injectFault()
	assert.NilError(de, trainer.Wait(), errs.String())
	var sum standin.ClientsSummary
	assert.NilError(de, json.Unmarshal(out.Bytes(), &sum))
	assert.Equal(de, len(sum.Trainers), 1)
	got := sum.Trainers[0]
	got.IdleRatio, got.StalenessMean = 0, 0
	assert.Equal(de, got, standin.TrainerSummary{Name: "drafting-trainer", Delivered: 24, Wanted: 24})
}

// kill kills a process with SIGKILL.
func (de *deployment) kill(name string) {
	var killed *exec.ExitError
	assert.Assert(de, errors.As(de.processes[name].end(syscall.SIGKILL), &killed))
}

// TestProcessFaults checks that each sample is delivered exactly once although a process is
// killed, or paused beyond its lease and resumed, during a step.
func TestProcessFaults(t *testing.T) {
	for name, injectFault := range map[string]func(de *deployment){
		"kill-attendant": func(de *deployment) { de.kill("attendant2") },
		"kill-entry":     func(de *deployment) { de.kill(de.owner()) },
		"freeze-entry":   freezeOwner,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			de := newDeployment(t)
			de.apply(1)
			de.ready()
			de.runTrainer(func() { injectFault(de) })
		})
	}
}

// freezeOwner pauses the entry that owns the trainer's batches until another entry owns
// them, and resumes it.
func freezeOwner(de *deployment) {
	frozen, other := de.owner(), "entry1"
	if frozen == other {
		other = "entry2"
	}
	de.signal(frozen, syscall.SIGSTOP)
	client := http.Client{Timeout: time.Second}
	de.waitFor("another owner", func() bool {
		// An entry acquires the lease only on a request for the trainer.
		an, err := client.Get("http://" + de.addresses[other] + "/v1/trainers/drafting-trainer/batches/none")
		if err == nil {
			an.Body.Close()
		}
		return slices.ContainsFunc(de.statuses(), func(st message.Status) bool {
			return de.owns(st) && strings.ReplaceAll(st.Instance, "-", "") == other
		})
	})
	de.signal(frozen, syscall.SIGCONT)
}
