package node

import (
	"bytes"
	"os"
	"time"

	"github.com/crocusshore/crocusshore/platform"
)

// settingsPollInterval is how often the settings file is compared with what is in force, since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// reload reads the settings file again. Seeds and the time to stop follow it; names and addresses hold for the life of the process.
func (n *Node) reload(requested bool) {
	if n.config.SettingsPath == "" {
		return
	}
	body, err := os.ReadFile(n.config.SettingsPath)
	if err == nil && bytes.Equal(body, n.body) {
		if requested {
			n.config.Log.Info("reload", "changed", false)
		}
		return
	}
	var settings platform.Settings
	if err == nil {
		settings, err = platform.ParseSettings(body)
	}
	if err != nil {
		if requested || !bytes.Equal(body, n.body) {
			n.config.Log.Error("reload failed, the older settings stay in force", "error", err)
		}
		n.body = body
		return
	}
	n.body = body
	n.settings.Store(&settings)
	n.config.Log.Info("reload", "changed", true, "seeds", settings.Seeds, "grace", settings.Grace, "asked", requested)
}
