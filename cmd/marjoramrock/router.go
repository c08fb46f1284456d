package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/urfave/cli/v2"
)

// shutdownTimeout bounds a graceful shutdown. It exceeds any reasonable route
// deadline, so that open streams can finish.
const shutdownTimeout = 10 * time.Minute

func routerCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name:  "router",
		Usage: "run the router of this VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`, JSON with comments"},
		},
		Action: runRouter,
	})
}

func newLogger(level string) (log.Interface, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	return &log.Logger{Handler: jsonlog.New(os.Stderr), Level: parsed}, nil
}

func runRouter(c *cli.Context) error {
	settings, err := router.LoadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	logger, err := newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	tlsConfig, err := peer.LoadTLS(settings.TLS)
	if err != nil {
		return err
	}
	r, err := router.New(settings, tlsConfig, logger)
	if err != nil {
		return err
	}
	return serveUntilSignal(r)
}

// serveUntilSignal serves until SIGTERM or SIGINT and then shuts down gracefully.
// SIGUSR1 writes the router's state to the log. A second SIGTERM or SIGINT ends
// the process at once.
func serveUntilSignal(r *router.Router) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for s := range signals {
		if s == syscall.SIGUSR1 {
			r.LogDump()
			continue
		}
		break
	}
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return r.Shutdown(ctx)
}

func certsCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name:      "certs",
		Usage:     "create a certificate authority and certificates for the protocol between routers",
		ArgsUsage: "DIRECTORY NAME [NAME ...]",
		Action:    makeCerts,
	})
}

// makeCerts writes ca.pem to the directory, and NAME.pem and NAME.key for each name.
func makeCerts(c *cli.Context) error {
	if c.NArg() < 2 {
		return usageErrorf("certs requires a DIRECTORY and at least one NAME")
	}
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	dir := c.Args().First()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), authority.Cert(), 0o644); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	for _, name := range c.Args().Tail() {
		pair, err := authority.Issue()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+".pem"), pair.Cert, 0o644); err != nil {
			return fmt.Errorf("certs: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".key"), pair.Key, 0o600); err != nil {
			return fmt.Errorf("certs: %w", err)
		}
	}
	return nil
}
