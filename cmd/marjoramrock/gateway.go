package main

import (
	"errors"
	"os"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/platform"
	"github.com/urfave/cli/v2"
)

func gatewayCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name:  "gateway",
		Usage: "run the router of this VM on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Required: true, EnvVars: []string{"MARJORAMROCK_SETTINGS"},
				Usage: "settings `FILE`, JSON with comments",
			},
		},
		Action: func(c *cli.Context) error {
			writer := event.NewWriter(os.Stdout)
			defer writer.Close()
			err := platform.Run(c.String("settings"), &log.Logger{Handler: writer, Level: log.InfoLevel})
			var settingsErr *config.SettingsError
			var problems config.ProblemsError
			if errors.As(err, &settingsErr) || errors.As(err, &problems) {
				return &usageError{err: err}
			}
			return err
		},
	})
}
