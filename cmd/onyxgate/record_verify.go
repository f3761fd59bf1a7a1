package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"onyxgate/internal/record/recorder"
)

type recordVerify struct {
	Instance string `name:"agent" help:"Check this instance's spool only; the default is all."`
	JSON     bool   `help:"Print one JSON object per finding."`
}

// Run prints the findings of the audit. It returns an error if there are defects.
func (c recordVerify) Run(commands *recordCommands) error {
	settings, err := commands.recordConfig()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	bar, defects := newProgress("entries read"), 0
	var findings []recorder.Finding
	err = recorder.Audit(ctx, settings, c.Instance, func(finding recorder.Finding) {
		findings = append(findings, finding)
		if finding.Defect {
			defects++
		}
	}, func(rows int) { bar.set(int64(rows)) })
	bar.finish()
	if err != nil {
		return err
	}
	slices.SortStableFunc(findings, func(a, b recorder.Finding) int { // defects last, so that they end up just above the shell prompt
		return cmp.Compare(severity(a), severity(b))
	})
	for _, finding := range findings {
		if err := c.print(finding); err != nil {
			return err
		}
	}
	if defects > 0 {
		return fmt.Errorf("%d defects found", defects)
	}
	return nil
}

func severity(finding recorder.Finding) int {
	if finding.Defect {
		return 1
	}
	return 0
}

func (c recordVerify) print(finding recorder.Finding) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(finding)
	}
	label := "ok    "
	if finding.Defect {
		label = "DEFECT"
	}
	_, err := fmt.Println(label, finding.Where+":", finding.What)
	return err
}
