/// @file
/// Order marks of the cells, as one process knows them.
#pragma once

#include <map>
#include <string>

#include "peer/cell_messages.h"

namespace limpethaven {

/// Order marks by cell. They are passed on with placement requests, placement
/// answers and loads.
class OrderMarks {
 public:
  /// Takes note of a cell's mark; the one with the higher term is kept. Where
  /// two processes have claimed the same term, the next step without a holder
  /// is kept, which stops both of them.
  void Note(const std::string& cell, const OrderMark& mark);
  /// Mark of a cell; without a term when none is known.
  [[nodiscard]] OrderMark Of(const std::string& cell) const;

 private:
  std::map<std::string, OrderMark> rows;  ///< Keyed by cell.
};

}  // namespace limpethaven
