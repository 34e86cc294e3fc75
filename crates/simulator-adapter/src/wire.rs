//! Reads little-endian numbers at given offsets of a record.

/// Offset of the code in an event or action record.
pub(crate) const CODE: usize = 0;
/// Offset of the instance number in an event or action record.
pub(crate) const INSTANCE: usize = 1;

/// Reads the fields of a record by their offsets. All offsets must lie within the record.
#[derive(Clone, Copy)]
pub(crate) struct RecordReader<'a> {
    bytes: &'a [u8],
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> RecordReader<'a> {
        RecordReader { bytes }
    }

    /// The rest of the record, starting at an offset.
    pub(crate) fn from(self, offset: usize) -> RecordReader<'a> {
        RecordReader::new(&self.bytes[offset..])
    }

    pub(crate) fn u8(self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub(crate) fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    pub(crate) fn f32(self, offset: usize) -> f32 {
        f32::from_le_bytes(self.array(offset))
    }

    /// A 32-bit count or length.
    pub(crate) fn size(self, offset: usize) -> usize {
        self.u32(offset) as usize
    }

    fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        std::array::from_fn(|index| self.bytes[offset + index])
    }
}
