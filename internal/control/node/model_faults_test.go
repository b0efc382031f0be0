package node_test

import (
	"math/rand/v2"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// faultKind is a kind of disturbance that can be switched on by itself.
type faultKind string

// The kinds of faults. Those of the second group have no time of their own: they change what happens
// otherwise.
const (
	faultLoss         faultKind = "loss"
	faultLate         faultKind = "late"
	faultCut          faultKind = "cut"
	faultZoneCut      faultKind = "zoneCut"
	faultEndpointCut  faultKind = "endpointCut"
	faultCoreCut      faultKind = "coreCut"
	faultFreeze       faultKind = "freeze"
	faultSlow         faultKind = "slow"
	faultKill         faultKind = "kill"
	faultPower        faultKind = "power"
	faultRoll         faultKind = "roll"
	faultStoreDown    faultKind = "storeDown"
	faultStoreRefuses faultKind = "storeRefuses"
	faultStoreSlow    faultKind = "storeSlow"
	faultRevoke       faultKind = "revoke"
	faultCrash        faultKind = "crash"
	faultReborn       faultKind = "reborn"
	faultRebornCut    faultKind = "rebornCut"
	// faultRebornAtStart restarts an endpoint while a start to it is in transit.
	faultRebornAtStart faultKind = "rebornAtStart"
	faultAdd           faultKind = "add"
	faultLeave         faultKind = "leave"
	faultBurst         faultKind = "burst"
	faultStoreLate     faultKind = "storeLate"
	faultFailures      faultKind = "failures"
	faultStall         faultKind = "stall"
	faultGiveUp        faultKind = "giveUp"
	faultDuplicate     faultKind = "duplicate"
	faultNextLife      faultKind = "nextLife"
	// faultDeadly lets some tasks crash each endpoint that starts them.
	faultDeadly faultKind = "deadly"
	// faultCallerCut lets the cuts of data centres separate VMs from callers too.
	faultCallerCut faultKind = "callerCut"
	// faultThawOrder lets a VM that wakes up from a freeze handle other events before its tick.
	faultThawOrder faultKind = "thawOrder"
	// faultShrink changes the capacity of endpoints, which do not guard it.
	faultShrink faultKind = "shrink"
	// faultOddRows lets another writer overwrite and add rows of endpoints.
	faultOddRows faultKind = "oddRows"
	// faultResetCut cuts endpoints off by links that reset connections.
	faultResetCut faultKind = "resetCut"
	// faultEvacuate lets the operator evacuate data centres and take that back.
	faultEvacuate      faultKind = "evacuate"
	maxCutDuration               = 6 * second
	maxStoreDuration             = 8 * second
	maxSlowDuration              = 4 * second
	maxRebirthDuration           = 3 * second
)

// faultInjectors cause one fault each.
var faultInjectors = map[faultKind]func(*world, *rand.Rand){
	faultVMRows:        injectVMRows,
	faultLoss:          injectLoss,
	faultLate:          injectLate,
	faultCut:           injectCut,
	faultZoneCut:       injectZoneCut,
	faultEndpointCut:   injectEndpointCut,
	faultCoreCut:       injectCoreCut,
	faultFreeze:        injectFreeze,
	faultSlow:          injectSlow,
	faultKill:          injectKill,
	faultPower:         injectPower,
	faultRoll:          injectRoll,
	faultStoreDown:     injectStoreDown,
	faultStoreRefuses:  injectStoreRefuses,
	faultStoreSlow:     injectStoreSlow,
	faultRevoke:        injectRevoke,
	faultCrash:         injectCrash,
	faultReborn:        injectReborn,
	faultRebornCut:     injectRebornCut,
	faultRebornAtStart: injectRebornAtStart,
	faultAdd:           injectAdd,
	faultLeave:         injectLeave,
	faultBurst:         injectBurst,
	faultShrink:        injectShrink,
	faultOddRows:       injectOddRows,
	faultResetCut:      injectResetCut,
	faultEvacuate:      injectEvacuate,
	faultShutdowns:     injectShutdowns,
	faultZoneLoss:      injectZoneLoss,
}

// allFaults are the kinds in a fixed order.
var allFaults = []faultKind{
	faultLoss, faultLate, faultCut, faultZoneCut, faultEndpointCut, faultCoreCut, faultFreeze, faultSlow, faultKill, faultPower, faultRoll,
	faultStoreDown, faultStoreRefuses, faultStoreSlow, faultRevoke, faultCrash, faultReborn, faultRebornCut, faultRebornAtStart, faultAdd, faultLeave, faultBurst,
	faultStoreLate, faultFailures, faultStall, faultGiveUp, faultDuplicate, faultNextLife, faultCallerCut, faultThawOrder,
	faultShrink, faultOddRows, faultResetCut, faultDeadly, faultEvacuate, faultCancel,
	faultKinds, faultClockStep, faultRelay, faultVMRows, faultShutdowns, faultZoneLoss,
}

// injectFaults causes faults of the world's kinds until a point in time.
func (w *world) injectFaults(until micros) {
	maxPause := int64(pick(w.random("pauses"), []micros{second, 2 * second, 5 * second}))
	for _, k := range w.options.kinds {
		inject, ok := faultInjectors[k]
		if !ok {
			continue
		}
		random := w.random("fault " + string(k))
		var next func()
		next = func() {
			if w.now >= until {
				return
			}
			inject(w, random)
			w.after(micros(random.Int64N(maxPause)), next)
		}
		w.after(micros(random.Int64N(maxPause)), next)
	}
}

func pick[T any](random *rand.Rand, all []T) T { return all[random.IntN(len(all))] }

func duration(random *rand.Rand, limit micros) micros {
	return micros(random.Int64N(int64(limit))) + ms
}

// pickEndpoint returns an endpoint that is up, or nil.
func (w *world) pickEndpoint(random *rand.Rand) *modelEndpoint {
	up := slices.DeleteFunc(slices.Clone(w.endpoints), func(e *modelEndpoint) bool { return !e.up })
	if len(up) == 0 {
		return nil
	}
	return pick(random, up)
}

func (w *world) logFault(k faultKind, format string, args ...any) {
	w.trace.add(record{format: "FAULT " + string(k) + " " + format, args: args})
}

func injectLoss(w *world, random *rand.Rand) {
	w.network.lossRate = 0.02 + 0.3*random.Float64()
	w.network.lossUntil = w.now + duration(random, maxSlowDuration)
	w.logFault(faultLoss, "%.2f until %s", w.network.lossRate, formatTime(w.network.lossUntil))
}

func injectLate(w *world, random *rand.Rand) {
	if e := w.pickEndpoint(random); e != nil {
		e.lateUntil = w.now + duration(random, maxSlowDuration)
		w.logFault(faultLate, "%s until %s", e.id, formatTime(e.lateUntil))
	}
}

// cutBetween cuts one or both directions between two parties.
func (w *world) cutBetween(random *rand.Rand, a, b string, d micros) {
	direction := random.IntN(4)
	if direction != 0 {
		w.network.cut(a, b, d)
	}
	if direction != 1 {
		w.network.cut(b, a, d)
	}
}

func injectCut(w *world, random *rand.Rand) {
	v, d := pick(random, w.vms), duration(random, maxCutDuration)
	if random.IntN(2) == 0 {
		o := pick(random, w.vms)
		w.cutBetween(random, v.name, o.name, d)
		w.logFault(faultCut, "%s and %s for %s", v.name, o.name, formatTime(d))
		return
	}
	if e := w.pickEndpoint(random); e != nil {
		w.cutBetween(random, v.name, string(e.id), d)
		w.logFault(faultCut, "%s and %s for %s", v.name, e.id, formatTime(d))
	}
}

// injectZoneCut cuts a data centre off from the others, and at times from the store and its callers.
func injectZoneCut(w *world, random *rand.Rand) {
	dc, d := pick(random, w.vms).dc, duration(random, maxCutDuration)
	withStore, withCallers := random.IntN(3) > 0, random.IntN(3) == 0 && w.options.enabled(faultCallerCut)
	var others []string
	if withStore {
		others = append(others, storeName)
	}
	if withCallers {
		others = append(others, callerName)
	}
	w.cutDataCentre(dc, d, others...)
	w.logFault(faultZoneCut, "%s for %s, store %v, callers %v", dc, formatTime(d), withStore, withCallers)
}

// cutDataCentre cuts the VMs and endpoints of a data centre off from those outside and from others.
func (w *world) cutDataCentre(dc datacentre.ID, d micros, others ...string) {
	var inside []string
	outside := others
	for _, v := range w.vms {
		if v.dc == dc {
			inside = append(inside, v.name)
		} else {
			outside = append(outside, v.name)
		}
	}
	for _, e := range w.endpoints {
		if e.dc == dc {
			inside = append(inside, string(e.id))
		} else {
			outside = append(outside, string(e.id))
		}
	}
	for _, i := range inside {
		for _, o := range outside {
			w.network.cut(i, o, d)
			w.network.cut(o, i, d)
		}
	}
}

// injectEndpointCut cuts an endpoint off from all or some VMs, and at times from the store.
func injectEndpointCut(w *world, random *rand.Rand) {
	if e := w.pickEndpoint(random); e != nil {
		w.cutEndpoint(random, e, duration(random, maxCutDuration))
	}
}

func (w *world) cutEndpoint(random *rand.Rand, e *modelEndpoint, d micros) {
	all := random.IntN(2) == 0
	for _, v := range w.vms {
		if all || random.IntN(2) == 0 {
			w.cutBetween(random, v.name, string(e.id), d)
		}
	}
	if withStore := random.IntN(2) == 0; withStore {
		w.network.cut(string(e.id), storeName, d)
	}
	w.logFault(faultEndpointCut, "%s for %s, from all VMs %v", e.id, formatTime(d), all)
}

// injectResetCut cuts an endpoint off from all or some VMs, so that connections to it are refused while
// its attempts go on.
func injectResetCut(w *world, random *rand.Rand) {
	e := w.pickEndpoint(random)
	if e == nil {
		return
	}
	d, all := duration(random, maxCutDuration), random.IntN(2) == 0
	for _, v := range w.vms {
		if all || random.IntN(2) == 0 {
			w.network.cut(v.name, string(e.id), d)
			w.network.cut(string(e.id), v.name, d)
			w.network.link(v.name, string(e.id)).resetUntil = w.now + d
		}
	}
	w.logFault(faultResetCut, "%s for %s, from all VMs %v", e.id, formatTime(d), all)
}

// injectCoreCut cuts VMs or endpoints off from the store.
func injectCoreCut(w *world, random *rand.Rand) {
	d := duration(random, maxStoreDuration)
	cut := func(name string) {
		w.network.cut(name, storeName, d)
		w.network.cut(storeName, name, d)
		w.logFault(faultCoreCut, "%s for %s", name, formatTime(d))
	}
	if random.IntN(2) == 0 {
		cut(pick(random, w.vms).name)
		return
	}
	for range 1 + random.IntN(4) {
		if e := w.pickEndpoint(random); e != nil {
			cut(string(e.id))
		}
	}
}

func injectFreeze(w *world, random *rand.Rand) {
	v, d := pick(random, w.vms), duration(random, maxSlowDuration)
	if random.IntN(2) == 0 {
		v.freezeAtStart = d
		return
	}
	v.freeze(d)
}

func injectSlow(w *world, random *rand.Rand) {
	v := pick(random, w.vms)
	v.slowUntil = w.now + duration(random, maxSlowDuration)
	w.logFault(faultSlow, "%s until %s", v.name, formatTime(v.slowUntil))
}

func injectKill(w *world, random *rand.Rand) {
	v := pick(random, w.vms)
	v.kill(random.IntN(4) == 0)
	w.after(200*ms+duration(random, 3*second), v.start)
}

func injectPower(w *world, random *rand.Rand) {
	silent := random.IntN(2) == 0
	for _, v := range w.vms {
		v.kill(silent)
		w.after(200*ms+duration(random, 2*second), v.start)
	}
}

// injectRoll shuts the VMs down one after the other and starts them again.
func injectRoll(w *world, random *rand.Rand) {
	v := pick(random, w.vms)
	if !v.up {
		return
	}
	v.shutDown()
	w.after(modelGrace+duration(random, second), v.start)
}

func injectStoreDown(w *world, random *rand.Rand) {
	w.store.downUntil = w.now + duration(random, maxStoreDuration)
	w.logFault(faultStoreDown, "until %s", formatTime(w.store.downUntil))
}

func injectStoreRefuses(w *world, random *rand.Rand) {
	v := pick(random, w.vms)
	w.store.refusedUntil[v.name] = w.now + duration(random, maxStoreDuration)
	w.logFault(faultStoreRefuses, "%s until %s", v.name, formatTime(w.store.refusedUntil[v.name]))
}

func injectStoreSlow(w *world, random *rand.Rand) {
	w.store.slowUntil = w.now + duration(random, maxSlowDuration)
	w.logFault(faultStoreSlow, "until %s", formatTime(w.store.slowUntil))
}

// injectRevoke removes rows of endpoints, which come back with the next heartbeat.
func injectRevoke(w *world, random *rand.Rand) {
	share := random.Float64()
	for _, e := range w.endpoints {
		if random.Float64() < share {
			w.store.remove(tableEndpoints, string(e.id))
			w.trace.add(record{endpoint: e.id, format: "FAULT row revoked"})
		}
	}
}

func injectCrash(w *world, random *rand.Rand) {
	if e := w.pickEndpoint(random); e != nil {
		e.crash()
		e.gone = true
	}
}

func injectReborn(w *world, random *rand.Rand) {
	if e := w.pickEndpoint(random); e != nil {
		e.rebirth(random)
	}
}

// rebirth crashes an endpoint and starts it again, often at once.
func (e *modelEndpoint) rebirth(random *rand.Rand) {
	delay := micros(0)
	if random.IntN(2) == 0 {
		delay = duration(random, maxRebirthDuration)
	}
	e.crash()
	e.world.after(delay, func() {
		if !e.up && !e.gone {
			e.start(0)
		}
	})
}

func injectRebornCut(w *world, random *rand.Rand) {
	e := w.pickEndpoint(random)
	if e == nil {
		return
	}
	d := duration(random, maxCutDuration)
	w.cutEndpoint(random, e, d)
	w.after(duration(random, d), func() { e.rebirth(random) })
}

// injectRebornAtStart lets an endpoint restart while the next start to it is in transit, so that the new
// incarnation receives it. At times the endpoint is cut off right after.
func injectRebornAtStart(w *world, random *rand.Rand) {
	e := w.pickEndpoint(random)
	if e == nil {
		return
	}
	e.onStart = func() {
		w.logFault(faultRebornAtStart, "%s", e.id)
		e.crash()
		e.start(0)
		if random.IntN(2) == 0 {
			w.after(duration(random, 20*ms), func() { w.cutEndpoint(random, e, duration(random, maxCutDuration)) })
		}
	}
}

func injectAdd(w *world, random *rand.Rand) {
	var dcs []datacentre.ID
	for _, v := range w.vms {
		dcs = append(dcs, v.dc)
	}
	e := w.addEndpoint(pick(random, dcs))
	e.start(0)
}

// injectLeave drains an endpoint, which leaves seconds later.
func injectLeave(w *world, random *rand.Rand) {
	e := w.pickEndpoint(random)
	if e == nil || e.draining {
		return
	}
	e.draining = true
	w.trace.add(record{endpoint: e.id, format: "endpoint drains"})
	row := e.row()
	w.network.send(string(e.id), storeName, func() { w.store.endpointWrites(row) })
	life := e.life
	w.after(2*second+duration(random, 2*second), func() {
		if e.up && e.life == life {
			e.crash()
			e.gone = true
			w.store.remove(tableEndpoints, string(e.id))
		}
	})
}

func injectBurst(w *world, random *rand.Rand) {
	w.callers.burstUntil = w.now + duration(random, maxSlowDuration)
}
