// Package harness starts the built program as processes on loopback for the
// end-to-end tests: nodes, stand-ins and a load of checked queries. Every process
// is killed by its id when its test ends, and its output is logged if the test
// failed.
package harness

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/logs"
)

const (
	// AwaitTimeout fails a test whose awaited condition does not hold in time. It is
	// far above the time that any condition takes, so that a slow machine causes no
	// false failure.
	AwaitTimeout     = 30 * time.Second
	pollInterval     = 5 * time.Millisecond
	shownOutputBytes = 8 << 10
)

// Build builds the program into a new temporary folder. The caller removes the
// folder.
func Build() (binary, folder string, err error) {
	folder, err = os.MkdirTemp("", "pistachiopier-e2e-")
	if err != nil {
		return "", "", err
	}
	binary = filepath.Join(folder, "pistachiopier")
	build := exec.Command("go", "build", "-o", binary, "github.com/pistachiopier/pistachiopier/cmd/pistachiopier")
	build.Stderr = os.Stderr
	return binary, folder, build.Run()
}

// Await waits until the condition holds, and fails the test after AwaitTimeout.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(AwaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	require.FailNow(t, "condition not reached: "+what)
}

// Process is one running process of the program.
type Process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	output logs.Buffer
	exited chan struct{}
}

// Start runs the program with the arguments until the test's end.
func Start(t testing.TB, binary, name string, arguments ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, cmd: exec.Command(binary, arguments...), exited: make(chan struct{})}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.stop)
	return p
}

func (p *Process) stop() {
	p.Kill()
	if !p.t.Failed() {
		return
	}
	text := p.output.String()
	p.t.Logf("output of %s:\n%s", p.name, text[max(0, len(text)-shownOutputBytes):])
}

// Output returns the output of the process so far.
func (p *Process) Output() string { return p.output.String() }

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(signal))
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// AwaitExit waits until the process ends by itself and returns its exit code.
func (p *Process) AwaitExit() int {
	p.t.Helper()
	Await(p.t, p.name+" exits", p.Exited)
	return p.cmd.ProcessState.ExitCode()
}

// AwaitEvent waits for the first JSON line with the event and decodes it.
func (p *Process) AwaitEvent(event string, out any) {
	p.t.Helper()
	Await(p.t, p.name+" prints "+event, func() bool {
		if line := p.findEvent(event); line != nil {
			require.NoError(p.t, json.Unmarshal(line, out))
			return true
		}
		require.False(p.t, p.Exited(), "%s has ended: %s", p.name, p.Output())
		return false
	})
}

func (p *Process) findEvent(event string) []byte {
	for line := range bytes.Lines([]byte(p.output.String())) {
		var head struct {
			Event string `json:"event"`
		}
		if bytes.HasSuffix(line, []byte("\n")) && json.Unmarshal(line, &head) == nil && head.Event == event {
			return line
		}
	}
	return nil
}
