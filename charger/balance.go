package charger

import (
	"math"
	"sync/atomic"
)

// balance is the number of tokens of an account and the number of the present period, in one
// word, so that a report of the tokens and the end of their period are one step. It is safe
// for concurrent use.
type balance struct{ word atomic.Uint64 }

// periodUnit is what a period adds to the word; the balance is below it.
const periodUnit = 1 << 32

func tokensOf(word uint64) int64  { return int64(word & math.MaxUint32) }
func periodOf(word uint64) uint32 { return uint32(word / periodUnit) }

func (b *balance) tokens() int64 { return tokensOf(b.word.Load()) }

// take uses a token. It returns how many are left and the period, and false if there was no
// token.
func (b *balance) take() (left int64, period uint32, ok bool) {
	for {
		word := b.word.Load()
		if tokensOf(word) == 0 {
			return 0, 0, false
		}
		if b.word.CompareAndSwap(word, word-1) {
			return tokensOf(word - 1), periodOf(word), true
		}
	}
}

// giveBack adds a token that was used in the period, if that is the present one.
func (b *balance) giveBack(period uint32) {
	for {
		word := b.word.Load()
		if periodOf(word) != period || b.word.CompareAndSwap(word, word+1) {
			return
		}
	}
}

func (b *balance) add(tokens int) { b.word.Add(uint64(tokens)) }

// reduce leaves so many tokens if there are more.
func (b *balance) reduce(tokens int64) {
	for {
		word := b.word.Load()
		if tokensOf(word) <= tokens || b.word.CompareAndSwap(word, word-uint64(tokensOf(word)-tokens)) {
			return
		}
	}
}

// beginPeriod begins the next period. It returns its number, and the tokens at that moment.
func (b *balance) beginPeriod() (period uint32, tokens int64) {
	word := b.word.Add(periodUnit)
	return periodOf(word), tokensOf(word)
}

// void drops all tokens and begins the next period. It returns its number.
func (b *balance) void() (period uint32) {
	for {
		word := b.word.Load()
		if next := periodOf(word) + 1; b.word.CompareAndSwap(word, uint64(next)*periodUnit) {
			return next
		}
	}
}
