#pragma once

/// \file
/// Umbrella header: everything a program needs to embed an entry daemon, or to
/// use the decision modules on their own.
///
/// \code
/// const auto parsed = sycamoreford::LoadSettings("entry.json");
/// sycamoreford::EntryDaemon daemon(parsed.settings);
/// daemon.Run();
/// \endcode

#include "sycamoreford/adapters/entry_daemon.h"
#include "sycamoreford/claim/claim_store.h"
#include "sycamoreford/config/config_editor.h"
#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/errc.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/fwd.h"
#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/settings/settings.h"
#include "sycamoreford/stream/answer_driver.h"
#include "sycamoreford/version.h"
