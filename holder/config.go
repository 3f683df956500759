package holder

import "sync/atomic"

// config holds the settings in force; they are replaced whole.
type config struct {
	value atomic.Pointer[Settings]
}

func (config *config) load() Settings {
	if settings := config.value.Load(); settings != nil {
		return *settings
	}
	return Settings{}
}

func (config *config) store(settings Settings) { config.value.Store(&settings) }
