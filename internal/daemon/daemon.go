// Package daemon runs a dispatcher as a process: it reads, checks and defaults the configuration (config.go and the
// files beside it), starts the parts in order (process.go), handles signals, reloads the configuration, and hands
// sockets and requests over to a successor process. It decides nothing about requests: that is package balancer's, and
// package proxy does the I/O. The settings within the configuration are read by package settings.
package daemon

import (
	"os"

	"github.com/rs/zerolog"
)

// Exit codes of the process, which service managers see.
const (
	exitOK        = 0
	exitFailure   = 1 // the process could not start or go on, or a command failed
	exitBadConfig = 2 // the configuration is invalid
)

// Main runs a dispatcher until a signal ends it, and returns the code that the process exits with.
func Main() int {
	// Before anything else: a signal that is not received would kill the process.
	received := notifySignals()
	defer received.close()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	config, err := ReadConfig(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("invalid configuration")
		return exitBadConfig
	}
	reload := func() (*Config, error) { return ReloadConfig(os.Getenv) }
	if err := serve(config, reload, received, log.With().Str("name", config.Name).Logger()); err != nil {
		log.Error().Err(err).Msg("process failed")
		return exitFailure
	}
	return exitOK
}

// serve runs a dispatcher until a signal ends it, and returns when all requests that it has taken are answered. reload
// reads the configuration again.
func serve(config *Config, reload func() (*Config, error), received *signals, log zerolog.Logger) error {
	p := &process{config: config, readConfig: reload, signals: received, log: log}
	defer p.disconnect()
	if err := p.start(); err != nil {
		return err
	}
	return p.run()
}
