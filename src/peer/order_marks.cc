#include "peer/order_marks.h"

#include <algorithm>

namespace limpethaven {

void OrderMarks::Note(const std::string& cell, const OrderMark& mark) {
  if (mark.term == OrderTerm{}) return;
  OrderMark& known = this->rows[cell];
  if (mark.term > known.term) {
    known = mark;
    return;
  }
  if (mark.term < known.term) return;
  if (mark.holder == known.holder) {
    // The share of the prefill engines may be found after the claim.
    if (known.prefill_permille == 0) known = mark;
    return;
  }
  const bool claimed_twice = mark.holder != 0 && known.holder != 0;
  if (!claimed_twice) return;
  known.holder = 0;
  known.term.step = std::min(known.term.step + 1, OrderTerm::kMaxStep);
}

OrderMark OrderMarks::Of(const std::string& cell) const {
  const auto row = this->rows.find(cell);
  return row == this->rows.end() ? OrderMark{} : row->second;
}

}  // namespace limpethaven
