package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// defaultMemory applies if there is no account of memory.
	defaultMemory = 64 << 20
	// maxMemoryWait is how long a large answer waits for memory. Its connection is not read meanwhile.
	maxMemoryWait = time.Second
	// maxBufferedBody is the largest answer, in bytes, that is buffered before it is sent. An answer may
	// not take more than a third of the memory for callers either.
	maxBufferedBody = 16 << 20
	// AnswerBytes is what an answer may hold without counting: it counts with its request.
	AnswerBytes = 32 << 10
)

// account returns the account of the settings, or one of defaultMemory.
func (s *Settings) account(now func() time.Time) *memory.Account {
	if s.Memory != nil {
		return s.Memory
	}
	return memory.NewAccount(defaultMemory, maxMemoryWait, now)
}
