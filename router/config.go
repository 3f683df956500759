package router

import "sync/atomic"

// atomicConfig holds the configuration in force. It is replaced as a whole, so that
// readers never see parts of two configurations.
type atomicConfig struct {
	value atomic.Pointer[GroupConfig]
}

func (atomicConfig *atomicConfig) load() GroupConfig {
	if config := atomicConfig.value.Load(); config != nil {
		return *config
	}
	return GroupConfig{}
}

func (atomicConfig *atomicConfig) store(config GroupConfig) { atomicConfig.value.Store(&config) }
