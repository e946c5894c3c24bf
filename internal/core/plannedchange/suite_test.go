package plannedchange_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestPlannedChange(t *testing.T) { testkit.Run(t, "planned changes") }
