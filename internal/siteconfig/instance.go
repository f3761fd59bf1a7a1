package siteconfig

import (
	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

// InstanceConfig converts the settings to a policy.Config. maxOpenRequests is the process's own limit on open requests
// (0 means no limit); the lower of it and the settings' limit applies.
func InstanceConfig(settings gjson.Result, seed uint64, maxOpenRequests int) policy.Config {
	limits, tariffs := settings.Get("limits"), settings.Get("tariffs")
	_, classes := Classes(settings)
	return policy.Config{
		Seed: seed, Index: int(settings.Get("me").Int()), Instances: int(settings.Get("balancers").Int()),
		Classes: classes, MaxAttempts: int(limits.Get("max-attempts").Int()),
		ConcurrentAttempts: limits.Get("parallel-tries").Bool(), CancelAllowed: CancelAllowed(settings),
		MaxOpenRequests: lowerLimit(maxOpenRequests, MaxOpenRequests(settings)), MaxRetryAfter: maxRetryAfter(limits),
		PeerMessages: limits.Get("peers").Bool(), ProbesAllowed: limits.Get("probes").Bool(), ProbePrice: tariffs.Get("probe").Num,
		Zone: int(settings.Get("zone").Int()), CrossZoneCharged: tariffs.Get("cross-zone").Num > 0,
		Discovery: policy.DiscoveryConfig{
			SubscriptionRequired: OnDemandDiscovery(settings), RefreshInterval: Milliseconds(settings.Get("contract.ask-every-us")),
		},
		SlowStart: slowStartConfig(settings.Get("contract")),
		Exposure:  exposureConfig(settings.Get("family-info")),
		Rollout:   rolloutConfig(settings.Get("family-info")),
		Tenants:   tenantConfig(settings),
	}
}

// lowerLimit returns the lower of the process's and the settings' limit. Values of 0 or less mean no limit.
func lowerLimit(processLimit, settingsLimit int) int {
	if settingsLimit > 0 && (processLimit <= 0 || settingsLimit < processLimit) {
		return settingsLimit
	}
	return processLimit
}

// maxRetryAfter returns the longest Retry-After (ms) that a rejection may carry; 0 means that rejections carry none.
func maxRetryAfter(limits gjson.Result) float64 {
	if !limits.Get("retry-after").Bool() {
		return 0
	}
	return Milliseconds(limits.Get("max-retry-after-us"))
}

func slowStartConfig(contract gjson.Result) policy.SlowStartConfig {
	return policy.SlowStartConfig{
		InitialCapacity: contract.Get("cold-from").Num, WarmUp: Milliseconds(contract.Get("warm-up-us")),
		OverloadFactor: contract.Get("overload-factor").Num, OverloadWindow: Milliseconds(contract.Get("fall-us")),
	}
}

func exposureConfig(family gjson.Result) policy.ExposureConfig {
	return policy.ExposureConfig{
		FreeAttempts: family.Get("spare-tries").Num, Caps: numberList(family.Get("most-shares")),
		Window: Milliseconds(family.Get("counted-over-us")), GuardedStages: int(family.Get("guarded-stages").Int()),
		PerClass: family.Get("counted-by").Str == "per_lane", KeyAffinity: family.Get("keys-stay").Bool(),
	}
}

func rolloutConfig(family gjson.Result) policy.RolloutConfig {
	return policy.RolloutConfig{
		Stages: numberList(family.Get("rings")), Control: rolloutControls[family.Get("decided-by").Str],
		RollbackVotes: int(family.Get("back-votes").Int()), VoteLifetime: Milliseconds(family.Get("ballot-ttl-us")),
	}
}

// tenantConfig reads the tenants' quotas, which are per second in the settings and per millisecond in package policy.
func tenantConfig(settings gjson.Result) policy.TenantConfig {
	quotas := []float64{}
	settings.Get("customers").ForEach(func(_, tenant gjson.Result) bool {
		quotas = append(quotas, tenant.Get("quota-per-s").Num/1000)
		return true
	})
	return policy.TenantConfig{Quotas: quotas, OverQuotaValue: settings.Get("over-share-worth").Num}
}
