package ledger_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestLedger(t *testing.T) { testkit.Run(t, "ledger") }
