package shedding_test

import (
	"testing"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var start = time.Date(2026, 4, 21, 22, 0, 0, 0, time.UTC)

func TestSuite(t *testing.T) { testkit.Run(t, "shedding") }
