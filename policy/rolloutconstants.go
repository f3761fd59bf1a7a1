package policy

const (
	maxEvidenceWait                     = 4000       // short of outcomes, 'on' comes after this barring a regression
	minSample                           = 20         // outcomes by build and product
	equivalenceQuantile                 = 2.13       // Student's t, four degrees: 90%
	fleetErrorProbability               = 0.04       // chance that so many agents as undo a build do so wrongly, a quarter of it for latency
	maxErrorProbability                 = 0.05       // the chance for one agent at the most: troubles befall many alike
	usualBreakShare                     = 0.02       // connections of the earlier build that break: beyond, breaks are no word on a build
	manyVotes                           = 4          // outcomes below the least sample that may yet tell of slowness, where many must agree
	minSlowerPercentiles                = 2          // that must be wholly slower: one of many looked at so often is by chance
	stalledStageAfter                   = 10000      // after which a stage is judged with the machines that are listed
	releaseSettleTime                   = 500        // after a release, by which all traffic has moved over
	comparableArrivals                  = 1.3        // times the txns before the build: the cause of any heat
	minSamplePerBackend                 = 3          // machines, of so many outcomes each, that tell how machines of one build differ
	evaluationInterval                  = 200        // between looks at the evidence and sums over the fleet
	lowQuantile                         = 0.3        // the quantile that is taken for a low latency
	steadySample                        = 12         // outcomes of a machine whose halves are compared
	maxSliceVariation, maxSliceDistance = 0.15, 2.0  // gate two: bound on slices; times more than halves of one differ
	latencyZone, shareZone              = 0.10, 0.05 // per latency percentile, for single figures
	smallSampleMargin, shiftMargin      = 0.4, 0.15  // wider zone: where many decide on little; few
	minStageTime, stageClockMargin      = 3000, 550  // no 'on' sooner after a stage's listed start times, and its clock's
	evaluators, soloEvaluationDelay     = 3, 2000    // told of all outcomes; others leave it so long to them
	inflationWindow, saturationLimit    = 3000, 7000
	voteRetryPause, outdatedVotePause   = 300, 3000 // before a vote is sent again that did not count, or did not fit
	sliceCount, maxEvidence             = 5, 400    // slices; outcomes kept by build and product
	saturatedFrom, saturatedUntil       = 1.6, 1.35 // times the latency before the build: hot, and no longer so
	renewalShare, renewalSpread         = 0.7, 0.2  // of a vote's life, and up to this later: renewals scatter
)
