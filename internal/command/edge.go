package command

import (
	"bytes"
	"errors"
	"io"
	"log"
	"os"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/platform"
)

// settingsPollInterval is how often the settings file is checked for changes that were not
// announced by a signal. The platform does not notify of changed files.
const settingsPollInterval = time.Second

func edgeCommand() *command {
	parser := flaggy.NewSubcommand("edge")
	parser.Description = "run a node of the forwarding tier until SIGINT or SIGTERM"
	path := os.Getenv(platform.SettingsVariable)
	parser.String(&path, "s", "settings", "the platform's settings file (default: "+platform.SettingsVariable+")")
	var metricsPort int
	parser.Int(&metricsPort, "m", "metrics-port", "port for metrics and the state dump (default: the last port of the node's port range)")
	var peerListen string
	parser.String(&peerListen, "", "peer-listen", "IP:PORT to listen on for other nodes, if their traffic is forwarded to it (default: the first port of the node's port range)")
	return &command{
		parser:  parser,
		example: "pistachiopier edge --settings boot.conf",
		run: func(out io.Writer) error {
			err := runEdge(path, metricsPort, peerListen, out)
			if err != nil {
				logFailure(out, err)
			}
			return err
		},
	}
}

// logFailure logs the error that ends the process. The command line prints it to standard
// error, which log collection may not include.
func logFailure(out io.Writer, cause error) {
	failure := fault.As(cause)
	log := decisionlog.New(out, nil)
	log.Life("node_failed", decisionlog.Fields{"error": failure.Error(), "code": failure.Code, "fix": failure.Fix})
	log.Close(failureLogTimeout)
}

// failureLogTimeout bounds the wait until the last log line is written.
const failureLogTimeout = time.Second

func runEdge(path string, metricsPort int, peerListen string, out io.Writer) error {
	signals := handleNodeSignals()
	if path == "" {
		return usageError("edge needs --settings FILE or "+platform.SettingsVariable, "see docs/SETTINGS.md for the settings")
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.SetMetricsPort(metricsPort)
	limitHeap(s.MemoryBytes)
	if peerListen != "" {
		s.PeerListen = peerListen
	}
	app, node := edge.New(s, out)
	log.SetFlags(0)
	log.SetOutput(node.LibraryLogWriter())
	if err := app.Err(); err != nil {
		return err
	}
	if err := startNode(app); err != nil {
		return err
	}
	watchSettings(signals, path, metricsPort, node)
	signals.onHangup(func() { node.LogRefusedSettings(errStopping) })
	return stopNode(app, s.StopWait)
}

// errStopping is logged for changed settings that are announced during the planned stop.
var errStopping = errors.New("the node is stopping")

// watchSettings reloads the settings on SIGHUP and when the content of the file changes, until
// a planned stop is requested. Every SIGHUP writes a line to the log. If the file cannot be read, the
// previous settings stay in force.
func watchSettings(signals nodeSignals, path string, metricsPort int, node *edge.Node) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastRead, _ := os.ReadFile(path)
	for {
		requested := false
		select {
		case <-signals.shutdown.Done():
			return
		case <-signals.hangup:
			requested = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		switch {
		case err != nil && requested:
			node.LogRefusedSettings(err)
		case err != nil:
			// The file is being replaced or is missing. Only SIGHUP reports a read error.
		case requested || !bytes.Equal(text, lastRead):
			lastRead = text
			reload(node, string(text), metricsPort)
		}
	}
}

func reload(node *edge.Node, text string, metricsPort int) {
	s, err := platform.ParseSettings(text)
	if err != nil {
		node.LogRefusedSettings(err)
		return
	}
	s.SetMetricsPort(metricsPort)
	limitHeap(s.MemoryBytes)
	node.Reload(s)
}

// heapShare is the part of a VM's memory that the Go runtime may take before it collects garbage more often. The program
// itself and the C library need the rest.
const heapShare = 0.75

// limitHeap sets the runtime's limit on memory from that of the VM; 0 is unknown, and changes nothing.
//
// It guards against a heap that has grown to twice of what is in use just when a crowd of clients has left its garbage.
func limitHeap(vmBytes int64) {
	if vmBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(vmBytes)))
	}
}
