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
	Instance string `name:"agent" help:"One instance's spool; all without it."`
	JSON     bool   `help:"One JSON object a finding."`
}

// Run prints what the audit finds. Where there are defects it ends with an error.
func (c recordVerify) Run(line *recordCommands) error {
	settings, err := line.recordConfig()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	shown, defects := newProgress("entries read"), 0
	var findings []recorder.Finding
	err = recorder.Audit(ctx, settings, c.Instance, func(finding recorder.Finding) {
		findings = append(findings, finding)
		if finding.Defect {
			defects++
		}
	}, func(rows int) { shown.set(int64(rows)) })
	shown.finish()
	if err != nil {
		return err
	}
	slices.SortStableFunc(findings, func(a, b recorder.Finding) int { // what is wrong stands last, above the prompt
		return cmp.Compare(severity(a), severity(b))
	})
	for _, finding := range findings {
		if err := c.print(finding); err != nil {
			return err
		}
	}
	if defects > 0 {
		return fmt.Errorf("%d defects", defects)
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
	word := "ok    "
	if finding.Defect {
		word = "DEFECT"
	}
	_, err := fmt.Println(word, finding.Where+":", finding.What)
	return err
}
