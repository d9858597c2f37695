#include "sycamoreford/adapters/entry_state.h"

#include <utility>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace sycamoreford {

EntryState::EntryState(Settings the_settings)
    : settings(std::move(the_settings)),
      table(settings.table.address, settings.table.timeout),
      engines(settings.limits.connect_timeout),
      metrics(settings.limits.metrics_series) {}

std::string NewUniqueId() {
  thread_local boost::uuids::random_generator generator;
  return boost::uuids::to_string(generator());
}

}  // namespace sycamoreford
