package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Outcomes go to the judging agents as fixed records: appliance by hash, build, product, how it went, latency
// and age.
const noteSize = 14

func hash(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func (a *Instance) jot(o outcome, build ReleaseID, product int) {
	flags := byte(0)
	if o.bad {
		flags = 1
	}
	if o.broken {
		flags |= 2
	}
	b := binary.LittleEndian.AppendUint32(nil, hash(a.id[o.app]))
	b = binary.LittleEndian.AppendUint16(b, uint16(build))
	b = append(b, byte(product), flags)
	b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(o.lat)))
	a.notes, a.notedTimes = append(a.notes, b), append(a.notedTimes, o.at)
}

// packed empties the notes into messages.
func (a *Instance) packed(most int) (out [][]byte) {
	for k, b := range a.notes {
		if k%(most/noteSize) == 0 {
			out = append(out, nil)
		}
		age := min(max(a.now-a.notedTimes[k], 0), math.MaxUint16)
		out[len(out)-1] = binary.LittleEndian.AppendUint16(append(out[len(out)-1], b...), uint16(age))
	}
	a.notes, a.notedTimes = nil, nil
	return out
}

// tell sends the outcomes of late to those who judge.
func (a *Instance) tell() {
	a.tellAt = a.now + tellPause
	for _, note := range a.packed(noteMost) {
		for k := range min(judges, a.agents) {
			if k != a.me {
				a.port.SendMessage(k, note)
			}
		}
	}
}

// OnMessage takes another agent's outcomes; what names an unknown appliance or product is passed over.
func (a *Instance) OnMessage(now float64, raw []byte) {
	a.at(now)
	for ; len(raw) >= noteSize; raw = raw[noteSize:] {
		i, ok := a.hashes[binary.LittleEndian.Uint32(raw)]
		build, product := ReleaseID(binary.LittleEndian.Uint16(raw[4:])), int(raw[6])
		lat := float64(math.Float32frombits(binary.LittleEndian.Uint32(raw[8:])))
		if !ok || product >= len(a.products) || !a.known || !(lat >= 0 && lat < 1e9) {
			continue
		}
		a.asks(now)
		at := now - float64(binary.LittleEndian.Uint16(raw[12:]))
		a.file(build, product, outcome{at: at, lat: lat, bad: raw[7]&1 != 0, broken: raw[7]&2 != 0, app: i})
	}
	a.settle()
}

// file keeps evidence in order of time.
func (a *Instance) file(build ReleaseID, product int, o outcome) {
	u := &a.usualLat[product]
	if *u == 0 {
		*u = o.lat
	}
	*u += usualStep * (o.lat - *u)
	o.rel = o.lat / max(*u, 1e-9)
	o.steady = !o.bad && a.steady(o.app, o.rel)
	if !a.book.IsEvaluated(build) { // of a release whose news is to come, or one that has been taken off
		return
	}
	arm := index(build >= a.newest)
	e := a.evidence[arm][product]
	k := len(e)
	for k > 0 && e[k-1].at > o.at {
		k--
	}
	e = slices.Insert(e, k, o)
	if len(e) > 2*keep {
		e = slices.Clone(e[len(e)-keep:])
	}
	a.evidence[arm][product] = e
}
