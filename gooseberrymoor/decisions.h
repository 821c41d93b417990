#pragma once

// All decisions of the query tier, for a front end that brings its own time and transport.
// Each is plain state: it takes an event and the present time and returns what is to be done.

#include "gooseberrymoor/admission/target_admission.h" // what one target may be given
#include "gooseberrymoor/admission/target_status.h" // what a target says of itself
#include "gooseberrymoor/configuration/change_settlement.h" // what became of a lost change
#include "gooseberrymoor/configuration/configuration_edit.h" // what an operator's edit makes
#include "gooseberrymoor/configuration/configuration_holder.h" // which configuration is in force
#include "gooseberrymoor/configuration/configuration_intake.h" // which configuration is taken
#include "gooseberrymoor/configuration/configuration_spread.h" // who reads it, who tells whom
#include "gooseberrymoor/entry/adaptive_rate_limiter.h" // how many queries of a service are taken
#include "gooseberrymoor/entry/entry_admission.h" // whether a caller's request is taken
#include "gooseberrymoor/entry/entry_directory.h" // which entries callers are told of
#include "gooseberrymoor/membership/cell_view.h" // who owns which target
#include "gooseberrymoor/membership/ownership.h" // whether the owner may send, and the view's changes
#include "gooseberrymoor/query/extra_request_budget.h" // how much may be sent beyond first requests
#include "gooseberrymoor/query/quantile_hedge_policy.h" // when a hedge goes out
#include "gooseberrymoor/query/query_run.h" // one query from fan-out to answer
#include "gooseberrymoor/query/routing_table.h" // which targets may be asked
#include "gooseberrymoor/query/snapshot_selector.h" // which snapshot a query begins with
#include "gooseberrymoor/query/two_choice_selector.h" // which target is asked
#include "gooseberrymoor/query/version_choice.h" // which version is asked
#include "gooseberrymoor/rollout/move_decision.h" // what a planned move does next
#include "gooseberrymoor/rollout/sheet.h" // whether planned moves may be applied
#include "gooseberrymoor/rollout/version_evidence.h" // whether a version is worse than another
