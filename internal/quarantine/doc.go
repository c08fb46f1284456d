// Package quarantine decides which parts of prompts crash the engines that process
// them, and how long calls with such a part are refused. The decisions depend on
// nothing but what a Tracker is told: there is no network, clock or goroutine.
//
// The evidence are calls that an engine broke off before it had generated anything
// for them. An engine that crashes also breaks off calls that have nothing to do with
// the crash; a part is at fault only if calls with it were broken off on several
// engines, at several times, and none succeeded in between. Chance is ruled out in one of
// two ways: other calls began meanwhile, or the engines, which have ended, did so right
// after the heads of responses to the calls with the part.
package quarantine
