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

// watchSettings reloads the settings file on SIGHUP and whenever its modification time
// changes.
func (r *Router) watchSettings(ctx context.Context) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	// Zero, so that the first tick reloads: the file may have changed since it was read at
	// startup.
	var lastModTime time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		case <-ticker.C:
			if r.settingsModTime().Equal(lastModTime) {
				continue
			}
		}
		lastModTime = r.settingsModTime()
		r.reloadOnce()
	}
}

func (r *Router) settingsModTime() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{} // The file is being replaced; the current settings stay in effect.
	}
	return info.ModTime()
}

// reloadOnce applies the settings that can change at run time. Listen addresses change only
// with a restart.
func (r *Router) reloadOnce() {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("invalid settings file, keeping the current settings")
		return
	}
	r.bounds.Store(&s.Bounds)
	r.addSeedPeers(s)
	r.log.Info().Msg("settings reloaded")
}

func (r *Router) addSeedPeers(s platform.Settings) {
	for _, seed := range s.SeedAddresses {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.log.Warn().Err(err).Str("seed", seed).Msg("skipping invalid seed address")
			continue
		}
		r.fleet.AddPeer(net.JoinHostPort(host, strconv.Itoa(r.settings.PeerPorts[0])))
	}
}
