package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chervilladder/chervilladder/internal/control/shutdown"
	"github.com/chervilladder/chervilladder/platform"
)

// signalHandler handles the signals of a VM that runs on the users' platform: SIGTERM and
// SIGINT begin its shutdown, SIGHUP says that the settings file has changed.
type signalHandler struct {
	c        PlatformConfig
	stopping *shutdown.Controller
	// A send on reloadBounds makes the bounds controller read the settings
	// file again.
	reloadBounds chan struct{}
}

// Run handles signals until the context ends.
func (h *signalHandler) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				h.reload()
			} else {
				h.stopping.Begin()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// reload requests that the bounds be read again. All other settings are fixed
// while the process runs: if one has changed, reload logs that it takes effect at
// the next start.
func (h *signalHandler) reload() {
	select {
	case h.reloadBounds <- struct{}{}:
	default: // a reload is pending already
	}
	s, err := platform.ReadSettings(h.c.SettingsPath)
	s.Bounds = h.c.Settings.Bounds
	if err == nil && s != h.c.Settings {
		h.c.Log.Warn("daemon: changed settings other than the bounds take effect at the next start")
	}
}
