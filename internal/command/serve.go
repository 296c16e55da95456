package command

import (
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/app"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/settings"
)

func serveCommand() *command {
	parser := flaggy.NewSubcommand("serve")
	parser.Description = "run a node until SIGINT or SIGTERM"
	var path string
	parser.String(&path, "s", "settings", "the YAML file with the settings of the node (required)")
	return &command{
		parser:  parser,
		example: "pistachiopier serve --settings node.yaml",
		run:     func(out io.Writer) error { return serve(path, out) },
	}
}

func serve(path string, out io.Writer) error {
	signals := handleNodeSignals()
	if path == "" {
		return usageError("serve needs --settings FILE", "see docs/SETTINGS.md for the settings")
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := logs.New(out, s.LogLevel)
	if err != nil {
		return err
	}
	node := app.New(s, log)
	if err := node.Err(); err != nil {
		return err
	}
	if err := startNode(node); err != nil {
		return err
	}
	signals.onHangup(func() {
		log.WithField(logs.FieldEvent, "settings_not_reloaded").Warn("SIGHUP changes nothing: the settings are read at the start only; restart the node")
	})
	<-signals.shutdown.Done()
	return stopNode(node, s.StopWait)
}
