package command

import (
	"bytes"
	"context"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/fx"

	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/platform"
)

// settingsLook is how often the settings file is looked at for a change that came
// without a signal. The platform has no notification of changed files.
const settingsLook = time.Second

func edgeCommand() *command {
	parser := flaggy.NewSubcommand("edge")
	parser.Description = "run a node of the forwarding tier until it is told to stop"
	path := os.Getenv(platform.SettingsVariable)
	parser.String(&path, "s", "settings", "the platform's settings file (default: "+platform.SettingsVariable+")")
	var metricsPort int
	parser.Int(&metricsPort, "m", "metrics-port", "port for metrics and the state dump (default: the last of the nodes' own range)")
	var peerListen string
	parser.String(&peerListen, "", "peer-listen", "IP:PORT to listen on for other nodes, where something forwards to it (default: the first port of the nodes' own range)")
	return &command{
		parser:  parser,
		example: "pistachiopier edge --settings boot.conf",
		run: func(out io.Writer) error {
			err := runEdge(path, metricsPort, peerListen, out)
			if err != nil {
				sayFailed(out, err)
			}
			return err
		},
	}
}

// sayFailed writes into the log why the process ends by itself. What the command line says
// goes to the standard error, which whoever collects the logs may not have.
func sayFailed(out io.Writer, cause error) {
	failed := fault.As(cause)
	log := decisionlog.New(out, nil)
	log.Life("node_failed", decisionlog.Fields{"error": failed.Error(), "code": failed.Code, "fix": failed.Fix})
	log.Close(failedLogLimit)
}

// failedLogLimit bounds the wait for the reader of a last line.
const failedLogLimit = time.Second

func runEdge(path string, metricsPort int, peerListen string, out io.Writer) error {
	if path == "" {
		return usage("edge needs --settings FILE or "+platform.SettingsVariable, "see docs/SETTINGS.md for what it holds")
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	s.SetMetricsPort(metricsPort)
	if peerListen != "" {
		s.PeerListen = peerListen
	}
	signals, stop := untilStopped()
	defer stop()
	app, node := edge.New(s, out)
	log.SetFlags(0)
	log.SetOutput(node.LibraryLogWriter())
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(signals); err != nil {
		return err
	}
	watchSettings(signals, path, metricsPort, node)
	return stopEdge(app, s.StopWait)
}

func stopEdge(app *fx.App, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return app.Stop(ctx)
}

// watchSettings reloads the settings at SIGHUP, which is always answered with a line in the
// log, and when the file is another one, until the process is told to stop. A file that
// cannot be read leaves the former settings in force.
func watchSettings(ctx context.Context, path string, metricsPort int, node *edge.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsLook)
	defer ticker.Stop()
	seen, _ := os.ReadFile(path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			asked = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		switch {
		case err != nil && asked:
			node.LogRefusedSettings(err)
		case err != nil:
			// It is being replaced, or stays away: the signal would tell.
		case asked || !bytes.Equal(text, seen):
			seen = text
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
	node.Reload(s)
}
