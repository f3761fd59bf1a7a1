package fleet

// The configuration file of an instance, in the users' JSON format.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

type object = map[string]any

// InstanceOptions are the settings of an instance that differ from those of the others.
type InstanceOptions struct {
	Index  int
	Name   string
	Listen string // address on which it accepts clients
	Seed   uint64
}

// Configuration returns the JSON configuration file of an instance.
func (f *Fleet) Configuration(options InstanceOptions) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(object{
		"name":      options.Name,
		"listen":    options.Listen,
		"discovery": f.discoveryListeners[options.Index].Addr().String(),
		"seed":      fmt.Sprintf("%x", options.Seed),
		"limits":    object{"cores": 1, "memory_mb": f.memoryMB, "sockets": f.sockets},
		"pipeline": object{
			"address": cmp.Or(f.PlatformOverride[options.Index], f.PlatformAddress()),
			"news":    f.stageObject(),
		},
		"known": f.endpointList(options.Index, true),
		"settings": object{
			"me":        options.Index,
			"balancers": f.Instances,
			"grades":    classObjects(),
			"dcs":       []string{"z"},
			"skus":      []string{"m"},
			"discovery": "push",
			"report":    object{"source": "answers"},
			"limits": object{
				"max-attempts": 4, "parallel-tries": true, "cancel": true, "probes": false,
				"connect-timeout-us": 250_000, "idle-close-us": 30_000_000,
			},
			"contract": object{
				"drain-grace-us": DrainGrace.Microseconds(), "cold-from": ColdSpeed, "warm-up-us": WarmUp.Microseconds(),
				"overload-factor": OverloadFactor, "fall-us": MaxOverloadTime.Microseconds(),
			},
			"family-info": object{
				"spare-tries": FreeAttempts, "most-shares": stageCaps, "rings": stageShares, "keys-stay": f.KeyAffinity,
				"counted-over-us": ExposureWindow.Microseconds(), "decided-by": "single", "back-votes": 1,
				"ballot-ttl-us": 4_000_000, "call-timeout-us": 800_000,
			},
		},
	})
}

// stageObject returns the stage in force. The caller holds f.mu.
func (f *Fleet) stageObject() object {
	return object{
		"release": f.stage.Release, "tranche": f.stage.Stage, "mode": f.stage.Mode, "exposure": f.stage.Cap,
		"old_ms": time.Since(f.stage.At).Milliseconds(),
	}
}

func classObjects() (classes []object) {
	for _, class := range Classes {
		classes = append(classes, object{
			"name": class.Name, "aim-us": class.LatencyObjective.Microseconds(), "deadline-us": class.Timeout.Microseconds(),
			"worth": 1, "late-value": 0.1, "effect": class.Semantics, "key-scope": "all",
			"key-ttl-us": class.DedupWindow.Microseconds(),
		})
	}
	return classes
}
