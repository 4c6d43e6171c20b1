package edge

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"hickoryrock/platform"
)

// reload takes in changes of the settings file, told by SIGHUP or found.
func (r *Router) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	// The file may have changed since it was first read.
	var known time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if r.modified().Equal(known) {
				continue
			}
		}
		known = r.modified()
		r.reloadOnce()
	}
}

func (r *Router) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{} // A file that is being replaced: the settings in force stay.
	}
	return info.ModTime()
}

// reloadOnce takes over what can change while a router runs. Addresses stay
// until the next start.
func (r *Router) reloadOnce() {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings refused, those in force stay")
		return
	}
	r.bounds.Store(&s.Bounds)
	r.meetSeeds(s)
	r.log.Info().Msg("settings reloaded")
}

func (r *Router) meetSeeds(s platform.Settings) {
	for _, seed := range s.SeedAddresses {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.log.Warn().Err(err).Str("seed", seed).Msg("seed skipped")
			continue
		}
		r.fleet.Meet(net.JoinHostPort(host, strconv.Itoa(r.settings.PeerPorts[0])))
	}
}
