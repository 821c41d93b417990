#pragma once

// All decisions of the query tier, for a front end that brings its own time and transport.
// Each is plain state: it takes an event and the present time and returns what is to be done.

#include "gooseberrymoor/admission/target_admission.h" // what one target may be given
#include "gooseberrymoor/configuration/configuration_holder.h" // which configuration is in force
#include "gooseberrymoor/entry/entry_admission.h" // whether a caller's request is taken
#include "gooseberrymoor/entry/entry_directory.h" // which entries callers are told of
#include "gooseberrymoor/membership/cell_view.h" // who owns which target
#include "gooseberrymoor/query/query_run.h" // one query from fan-out to answer
#include "gooseberrymoor/query/routing_table.h" // which targets may be asked
#include "gooseberrymoor/rollout/move_decision.h" // what a planned move does next
#include "gooseberrymoor/rollout/sheet.h" // whether planned moves may be applied
#include "gooseberrymoor/rollout/version_evidence.h" // whether a version is worse than another
