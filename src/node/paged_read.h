#pragma once

// Reads a range of rows that may take several pages.
//
//     readAllPages(store, {executorTable, "", "", ""}, timeout, [](const rows_result &page, bool last) { ...; return true; });

#include "platform/store_client.h"

#include <chrono>
#include <functional>

namespace daisypass {

/** Receives each page and whether it is the last one. A page that can't be read is the last one. Returns false to end the read. */
using page_handler = std::function<bool(const rows_result &page, bool last)>;

/** Calls the handler on the HTTP client's thread; the store must outlive the read. */
void readAllPages(store_client &store, const row_range &range, std::chrono::milliseconds pageTimeout, page_handler onPage);

} // namespace daisypass
