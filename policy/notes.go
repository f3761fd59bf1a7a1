package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Outcomes go to the judging agents as fixed records: appliance by hash, build, product, how it went, latency
// and age.
const summarySize = 14

func backendHash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (a *Instance) queueSummary(o outcome, build ReleaseID, product int) {
	flags := byte(0)
	if o.failed {
		flags = 1
	}
	if o.connectionBroken {
		flags |= 2
	}
	b := binary.LittleEndian.AppendUint32(nil, backendHash(a.id[o.backend]))
	b = binary.LittleEndian.AppendUint16(b, uint16(build))
	b = append(b, byte(product), flags)
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(o.latency)))
	a.summaries, a.summaryTimes = append(a.summaries, b), append(a.summaryTimes, o.at)
}

// encodeSummaries empties the notes into messages.
func (a *Instance) encodeSummaries(most int) (out [][]byte) {
	for k, b := range a.summaries {
		if k%(most/summarySize) == 0 {
			out = append(out, nil)
		}
		age := min(max(a.now-a.summaryTimes[k], 0), math.MaxUint16)
		out[len(out)-1] = binary.LittleEndian.AppendUint16(append(out[len(out)-1], b...), uint16(age))
	}
	a.summaries, a.summaryTimes = nil, nil
	return out
}

// broadcastSummaries sends the outcomes of late to those who judge.
func (a *Instance) broadcastSummaries() {
	a.broadcastAt = a.now + broadcastInterval
	for _, note := range a.encodeSummaries(maxMessageBytes) {
		for k := range min(evaluators, a.instances) {
			if k != a.index {
				a.port.SendMessage(k, note)
			}
		}
	}
}

// OnMessage takes another agent's outcomes; what names an unknown appliance or product is passed over.
func (a *Instance) OnMessage(now float64, raw []byte) {
	a.advanceClock(now)
	for ; len(raw) >= summarySize; raw = raw[summarySize:] {
		i, ok := a.indexOfHash[binary.LittleEndian.Uint32(raw)]
		build, product := ReleaseID(binary.LittleEndian.Uint16(raw[4:])), int(raw[6])
		lat := float64(math.Float32frombits(binary.LittleEndian.Uint32(raw[8:])))
		if !ok || product >= len(a.classes) || !a.announced || !(lat >= 0 && lat < 1e9) {
			continue
		}
		a.countArrival(now)
		at := now - float64(binary.LittleEndian.Uint16(raw[12:]))
		a.addEvidence(build, product, outcome{at: at, latency: lat, failed: raw[7]&1 != 0, connectionBroken: raw[7]&2 != 0, backend: i})
	}
	a.applyRules()
}

// addEvidence keeps evidence in order of time.
func (a *Instance) addEvidence(build ReleaseID, product int, o outcome) {
	u := &a.meanLatencyPerWork[product]
	if *u == 0 {
		*u = o.latency
	}
	*u += meanStep * (o.latency - *u)
	o.relativeLatency = o.latency / max(*u, 1e-9)
	o.comparable = !o.failed && a.isSteady(o.backend, o.relativeLatency)
	if !a.releases.IsEvaluated(build) { // of a release whose news is to come, or one that has been taken off
		return
	}
	arm := boolIndex(build >= a.newest)
	e := a.evidence[arm][product]
	k := len(e)
	for k > 0 && e[k-1].at > o.at {
		k--
	}
	e = slices.Insert(e, k, o)
	if len(e) > 2*maxEvidence {
		e = slices.Clone(e[len(e)-maxEvidence:])
	}
	a.evidence[arm][product] = e
}
