// Package daemon runs a dispatcher as a process. It makes no decisions about requests: package balancer makes them, and
// package proxy does the I/O. Where the main topics are documented:
//
//   - Configuration keys with their units, defaults and ranges: config_table.go.
//   - Ownership of the configuration: type process.
//   - Startup order and its reasons: process.start.
//   - What SIGHUP changes, and what requires a restart: process.reload.
//   - The shutdown after SIGTERM and its time limits: process.shutDown.
//   - What the two processes of a hot restart hand over, and in which order: type hotRestart.
package daemon

import (
	"os"

	"github.com/rs/zerolog"
)

// Exit codes of the process, used by service managers.
const (
	exitOK        = 0
	exitFailure   = 1 // the process could not start or continue, or a command failed
	exitBadConfig = 2 // the configuration is invalid
)

// Main runs a dispatcher until a signal stops it, and returns the exit code of the process.
func Main() int {
	// This must be the first step: a signal without a handler would kill the process.
	pendingSignals := notifySignals()
	defer pendingSignals.close()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	config, err := ReadConfig(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("invalid configuration")
		return exitBadConfig
	}
	reload := func() (*Config, error) { return ReloadConfig(os.Getenv) }
	if err := serve(config, reload, pendingSignals, log.With().Str("name", config.Name).Logger()); err != nil {
		log.Error().Err(err).Msg("process failed")
		return exitFailure
	}
	return exitOK
}

// serve runs a dispatcher until a signal stops it or one of its parts fails. It returns after all admitted requests
// have been answered or handed over. reload reads the configuration again.
func serve(config *Config, reload func() (*Config, error), pendingSignals *signals, log zerolog.Logger) error {
	p := &process{config: config, readConfig: reload, signals: pendingSignals, log: log}
	defer p.disconnectPredecessor()
	if err := p.start(); err != nil {
		return err
	}
	return p.run()
}
