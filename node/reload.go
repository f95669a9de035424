package node

import (
	"bytes"
	"os"
	"time"

	"github.com/crocusshore/crocusshore/platform"
)

// settingsPollInterval is the interval at which the settings file is compared with the settings in effect, since it may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// reload reads the settings file again. Seeds and the grace period for the shutdown follow it; names and addresses stay the same for the
// life of the process. requested is set if a signal asked for the reload.
func (n *Node) reload(requested bool) {
	if n.config.SettingsPath == "" {
		return
	}
	body, err := os.ReadFile(n.config.SettingsPath)
	if err == nil && bytes.Equal(body, n.body) {
		if requested {
			n.config.Log.Info("settings file read again", "changed", false)
		}
		return
	}
	var settings platform.Settings
	if err == nil {
		settings, err = platform.ParseSettings(body)
	}
	if err != nil {
		if requested || !bytes.Equal(body, n.body) {
			n.config.Log.Error("cannot reload the settings file, the previous settings stay in effect", "error", err)
		}
		n.body = body
		return
	}
	n.body = body
	n.settings.Store(&settings)
	n.config.Log.Info("settings file read again", "changed", true, "seeds", settings.Seeds, "grace", settings.Grace, "requested", requested)
}
