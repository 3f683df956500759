package router

import "sync/atomic"

// atomicSettings holds the settings in force. They are replaced as a whole, so that
// readers never see parts of two configurations.
type atomicSettings struct {
	value atomic.Pointer[Settings]
}

func (atomicSettings *atomicSettings) load() Settings {
	if settings := atomicSettings.value.Load(); settings != nil {
		return *settings
	}
	return Settings{}
}

func (atomicSettings *atomicSettings) store(settings Settings) { atomicSettings.value.Store(&settings) }
