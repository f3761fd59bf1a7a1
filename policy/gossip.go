package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
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
