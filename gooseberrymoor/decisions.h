#pragma once

// Includes the decision logic of the query tier, for a front end with its own clock and transport.
// These types perform no I/O and read no clock: they take an event and the current time and return
// the action to take.

#include "gooseberrymoor/admission/target_admission.h" // concurrency and queue of one target
#include "gooseberrymoor/admission/target_status.h" // status reported by a target
#include "gooseberrymoor/configuration/change_outcome_resolver.h" // changes whose reply was lost
#include "gooseberrymoor/configuration/configuration_edit.h" // edits by operators
#include "gooseberrymoor/configuration/configuration_holder.h" // configuration in force
#include "gooseberrymoor/configuration/configuration_sync_policy.h" // store reads, distribution to peers
#include "gooseberrymoor/configuration/configuration_updater.h" // validation of new configurations
#include "gooseberrymoor/entry/adaptive_rate_limiter.h" // query rate of a service
#include "gooseberrymoor/entry/entry_admission.h" // admission of callers' requests
#include "gooseberrymoor/entry/entry_directory.h" // entry addresses for callers
#include "gooseberrymoor/membership/cell_view.h" // members of a cell
#include "gooseberrymoor/membership/ownership.h" // ownership of targets and view changes
#include "gooseberrymoor/query/extra_request_budget.h" // budget of hedges and retries
#include "gooseberrymoor/query/leaf_candidate_table.h" // eligible targets
#include "gooseberrymoor/query/quantile_hedge_policy.h" // start time of hedges
#include "gooseberrymoor/query/query_run.h" // execution of one query
#include "gooseberrymoor/query/snapshot_selector.h" // first snapshot of a query
#include "gooseberrymoor/query/two_choice_selector.h" // choice of a target
#include "gooseberrymoor/query/version_choice.h" // choice of a version
#include "gooseberrymoor/rollout/move_decision.h" // next step of a planned move
#include "gooseberrymoor/rollout/sheet.h" // validation of planned moves
#include "gooseberrymoor/rollout/version_evidence.h" // comparison of versions
