package runtimes

import "time"

// Constants of the placement score. They are open until they have been measured on the
// deployments with uneven workers.
const (
	// paceWeight is the weight of a worker's pace in the score of a place where workers are
	// uniform. It is relative to the fraction of processors left free.
	paceWeight = 0.3
	// lossWeight is the weight of the expected loss of worth. It exceeds the terms for packing,
	// which are below 1.2 together.
	lossWeight = 5.0
	// speedWeight is the weight of a worker's speed, as a logarithm, while there are fast
	// workers to spare: on these, tasks leave their processors sooner.
	speedWeight = 0.5
	// opportunityWeight reduces speedWeight as the fast workers fill up, from freeUtilization to
	// full. Above speedWeight, tasks that are in time anywhere avoid full fast workers.
	opportunityWeight = 0.8
	freeUtilization   = 0.6
	// waitWeight is the cost of the difference of speed between the members of a gang, as a
	// logarithm. evenTolerance is the difference up to which workers count as equally fast: the
	// spread of a learned speed.
	waitWeight    = 1.0
	evenTolerance = 0.1
	// firstLoss and secondLoss are the parts of a job's worth that are lost after its objective
	// and after three times its objective.
	firstLoss, secondLoss = 0.8, 0.2
)

// Constants of the decision whether the workers of a fleet differ in speed.
const (
	// Speeds are uneven from a variance of unevenVariance of the logarithm (a spread of 0.28)
	// until it falls below evenVariance. Fleets of two or three kinds of similar hardware have
	// up to 0.033.
	unevenVariance = 0.08
	evenVariance   = 0.05
	// minKnownWorkers and minKnownFraction are how many workers have to be known.
	minKnownWorkers  = 4
	minKnownFraction = 0.2
	// knownPrecision is the precision of the observations of a worker that counts as known: a
	// spread of 0.25.
	knownPrecision = 16
	// utilizationTime is the time constant of the moving average of the utilization of fast
	// workers. Bursts of placements would let it oscillate.
	utilizationTime = 2 * time.Second
)

// Constants of the estimates of speed.
const (
	// taskVariance is the variance of the logarithms of the lengths of a step's tasks, which
	// differ by a third.
	taskVariance = 0.06
	// maxSpeedDeviation limits the deviations that count, as a logarithm. Larger ones come from
	// tasks that take seven times as long, and from disturbances, which the worker's health
	// covers.
	maxSpeedDeviation = 1.2
	// speedDecay is the factor on the weight of a worker's earlier observations with each
	// further one, speedTime the time constant of the decay with time.
	speedDecay = 0.97
	speedTime  = time.Minute
	// driftWeight, driftThreshold and driftDecay detect a worker that has changed its speed:
	// when the moving average of the normalized deviations exceeds 2.6 times its usual
	// spread (0.42), the earlier observations lose most of their weight.
	driftWeight    = 0.3
	driftThreshold = 1.1
	driftDecay     = 0.1
	// fleetVariance is the variance of speeds before anything is known, minGroupVariance the
	// least variance within a group.
	fleetVariance    = 0.1
	minGroupVariance = 0.02
	// refreshInterval is the time between two computations of the pooled estimates.
	refreshInterval = 250 * time.Millisecond
)

// Constants of the spread of run times.
const (
	// defaultSpread is the spread of run times around the expected one before anything is known:
	// estimates are off by half.
	defaultSpread        = 0.5
	minSpread, maxSpread = 0.15, 1.2
	// minRatioWeight is the weight of observations from which the measured spread is used.
	minRatioWeight = 20
	// ratioDecay is the factor on the weight of earlier runs with each further run.
	ratioDecay = 0.998
)
