package policy

const (
	throughputTime           = 4000  // over which the load that warm appliances bear is averaged
	healthDecayTime          = 5000  // over which an appliance's record fades
	healthThreshold          = 0.7   // a drawn chance below this part of the fleet's: the appliance is passed over
	maxQueueShare            = 0.45  // of a try's time, for a txn that was never sent
	openRequestsBeforeReject = 0.6   // of the txns that an agent can bear: beyond it one that finds no place is declined
	minAttemptShare          = 0.25  // of the SLA time: an answer within it is no fault of the appliance
	limitUseThreshold        = 0.6   // part of the limit from which it is taken to bind
	fullAdmission            = 0.75  // from which all are taken on: a late answer now and then is no shortage
	admissionRecoveryTime    = 20000 // within which a shortage is forgotten
	timeoutOverloadSignal    = 0.3   // of a shortage: an answer may as well be lost
	quotaBurstTime           = 2000  // over which a tenant's share may be used unevenly
	crossZonePenalty         = 1.5   // times the load it has: an appliance in another zone, where crossing is priced
	loadReportDecayTime      = 1500  // over which a load report fades: it was late and noisy when it came
	manyInstances            = 10    // from which own open work tells too little of an appliance's load
	stallThreshold           = 60    // a timer this late: the agent itself stood still
	lowValueLimitShare       = 0.6   // part of the limit that is for any revenue
	maxQueueMisses           = 4     // held txns in a row that find no place before the rest wait on
	queueRetryInterval       = 25    // between looks for a place
	finalAnswerMargin        = 12    // the final answer leaves so long before the expiry
	maxExpectedLatencyShare  = 0.5   // of the SLA time: what an answer is taken to need at the most
	maxLatencyInflation      = 10    // times the usual: what one answer counts at the most
	capUtilization           = 0.9   // of the cap: the trial share that is aimed at
	maxKeyShareOfCap         = 0.2   // of the cap: a key with more of the txns is not taken into a trial

	slowStartMargin, slowStartBurst      = 0.7, 0.25 // of the cold budget; of its window at once, against bursts
	admissionDecrease, admissionIncrease = 0.4, 0.1  // of the txns taken on: fewer for each that tells of a shortage, more
	probesPerRound, probeRoundShare      = 2, 0.12   // probed at once, rounds; of the SLA time, without an answer
	maxProbePrice                        = 0.045     // of the worth: what races save; none are run at a higher price

	minRetryAfterShare, retryAfterSpread      = 0.25, 0.5 // of the longest wait that clients follow, and up to more
	tailQuantile, tailMultiple                = 0.97, 1.5 // of the answers stay under the tail; hope ends at so many times it
	cancellationsPerRequest, maxCancellations = 0.1, 20   // submissions given up: for each txn, and at once

	choicesCompared, maxDraws                    = 6, 40     // random appliances compared: an agent sees but its part of the load
	initialConcurrencyLimit, minConcurrencyLimit = 4, 2      // by appliance; the least is for all agents together
	limitIncrease, limitDecrease                 = 0.20, 4.0 // open submissions more for an answer in time, fewer for a late one
	firstEjection, maxEjection                   = 20, 1000  // an appliance's rest after a quick failure, and after many
	meanStep, backendStep                        = 0.02, 0.1 // weight of one answer in a usual figure, and in one appliance's
	tailUpdateStep                               = 0.2       // and in the tail
	firstWatchRetry, maxWatchRetry               = 0.02, 0.3 // of the time in which the list must be asked for: pauses after failures
)

const (
	maxCountedKeys      = 1 << 14 // bound on the keys that are counted
	minBackendsForReuse = 64      // appliances from which places of those long gone are used again
	reuseAfter          = 60000   // no txn still knows it then
)
