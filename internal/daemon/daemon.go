// Package daemon runs a dispatcher as a process. It decides nothing about requests: package balancer does, and package
// proxy does the I/O. Where to read what an engineer on call asks:
//
//   - The keys of the configuration, their units, defaults and ranges: config_table.go.
//   - Which goroutine owns the configuration: type process.
//   - The order in which the parts are started, and why: process.start.
//   - What SIGHUP changes, and what waits for the next start: process.reload.
//   - How SIGTERM ends the process, and within which bounds: process.shutDown.
//   - What the two processes of a hot restart hand over, and in which order: type hotRestart.
package daemon

import (
	"os"

	"github.com/rs/zerolog"
)

// Exit codes of the process, which service managers see.
const (
	exitOK        = 0
	exitFailure   = 1 // the process could not start or continue, or a command failed
	exitBadConfig = 2 // the configuration is invalid
)

// Main runs a dispatcher until a signal ends it, and returns the process's exit code.
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

// serve runs a dispatcher until a signal ends it or a part of it fails. It returns when all admitted requests are
// answered or handed over. reload reads the configuration again.
func serve(config *Config, reload func() (*Config, error), received *signals, log zerolog.Logger) error {
	p := &process{config: config, readConfig: reload, signals: received, log: log}
	defer p.disconnect()
	if err := p.start(); err != nil {
		return err
	}
	return p.run()
}
